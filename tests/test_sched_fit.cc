#include <gtest/gtest.h>

#include <vector>

#include "scheduler.h"

namespace {

struct FitCase {
	const char *name;
	std::vector<int> racks; // workers of 8 accelerators in each
	std::vector<struct bd_shape> shapes;
	int code;
	uint32_t unfit; // index of the first shape that does not fit
};

// Guards against accepting shapes that cannot be planned together, rejecting
// shapes that can, and reporting the wrong shape.
TEST(SchedFit, ReportsFirstShapeThatDoesNotFit)
{
	const FitCase cases[] = {
	    {"nothing", {}, {}, CW_OK, 0},
	    {"no workers", {}, {{1, 1, 0, 0}}, SCH_EINFEASIBLE, 0},
	    {"whole rack", {4}, {{4, 8, 0, 0}}, CW_OK, 0},
	    {"one too many", {4}, {{1, 1, 0, 0}, {4, 8, 0, 0}}, SCH_EINFEASIBLE,
		0},
	    {"not across racks", {2, 2}, {{4, 8, 0, 0}}, SCH_EINFEASIBLE, 0},
	    {"members share a worker", {1}, {{4, 2, 0, 0}}, CW_OK, 0},
	    {"cores bind", {1}, {{2, 4, 20000, 0}}, SCH_EINFEASIBLE, 0},
	    {"memory binds", {1},
		{{1, 4, 0, 2000}, {1, 4, 0, 40000}, {1, 0, 0, 30000}},
		SCH_EINFEASIBLE, 2},
	    {"cores only", {1}, {{4, 0, 8000, 0}}, CW_OK, 0},
	    // Planning the largest shape in the tightest rack leaves too little
	    // for the others, so the search has to backtrack.
	    {"search backtracks", {3, 4},
		{{3, 8, 0, 0}, {2, 8, 0, 0}, {2, 8, 0, 0}}, CW_OK, 0},
	    {"largest first", {2, 1}, {{1, 8, 0, 0}, {2, 8, 0, 0}}, CW_OK, 0},
	};

	for (const FitCase &c : cases) {
		std::vector<struct bd_worker> workers;
		std::vector<struct bd_promise> promises;
		struct sch_fit_failure unfit = {};
		for (size_t r = 0; r < c.racks.size(); r++)
			for (int i = 0; i < c.racks[r]; i++) {
				struct bd_worker w = {};
				w.id = workers.size() + 1;
				w.rack = r + 1;
				w.accels = 8;
				w.cores_milli = 32000;
				w.memory_mb = 65536;
				workers.push_back(w);
			}
		for (const struct bd_shape &shape : c.shapes) {
			struct bd_promise p = {};
			p.account = 7;
			p.number = (uint16_t)promises.size();
			p.shape = shape;
			promises.push_back(p);
		}
		EXPECT_EQ(sch_fit_check(workers.data(), workers.size(),
			      promises.data(), promises.size(), &unfit),
		    c.code)
		    << c.name;
		if (c.code == SCH_EINFEASIBLE) {
			EXPECT_EQ(unfit.number, c.unfit) << c.name;
			EXPECT_EQ(unfit.account, 7u) << c.name;
		}
	}
}

// Guards against planning on leaving or lost workers, and against rejecting a
// configuration because of a quarantine, which is temporary.
TEST(SchedFit, CountsOnlyWorkersThatRemain)
{
	struct bd_worker worker = {};
	struct bd_promise promise = {};
	struct sch_fit_failure unfit;

	worker.id = 1;
	worker.accels = 4;
	promise.shape = {1, 4, 0, 0};
	worker.quarantine_until_ms = 1;
	EXPECT_EQ(sch_fit_check(&worker, 1, &promise, 1, &unfit), CW_OK);
	for (uint32_t state : {BD_WORKER_LEAVING, BD_WORKER_LOST}) {
		worker.state = state;
		EXPECT_EQ(sch_fit_check(&worker, 1, &promise, 1, &unfit),
		    SCH_EINFEASIBLE);
	}
}

} // namespace
