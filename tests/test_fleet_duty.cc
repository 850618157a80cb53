#include <gtest/gtest.h>

#include <vector>

#include "fleet_sim.h"

namespace {

// A VM with a board and a state; its proposals are collected in `proposed`.
struct Vm {
	explicit Vm(uint64_t incarnation) : self(incarnation)
	{
		EXPECT_EQ(bd_board_create(&board), CW_OK);
		EXPECT_EQ(st_create(&state, board), CW_OK);
	}
	~Vm()
	{
		st_destroy(state);
		bd_board_destroy(board);
	}
	Vm(const Vm &) = delete;
	Vm &operator=(const Vm &) = delete;

	void
	set_member(
	    uint64_t member, enum bd_member_state member_state, int64_t heard)
	{
		struct bd_member row = {};
		row.id = member;
		row.state = member_state;
		row.heard_ms = heard;
		ASSERT_EQ(bd_put(board, BD_TABLE_member, BD_WRITER_MEMBERSHIP,
			      member, &row, sizeof(row), nullptr),
		    CW_OK);
	}
	int64_t
	decide(int64_t now_ms)
	{
		struct st_sink sink = {propose, this};
		int64_t next = INT64_MAX;
		EXPECT_EQ(
		    fl_duty_decide(board, self, now_ms, &sink, &claims, &next),
		    CW_OK);
		return next;
	}
	static int
	propose(
	    void *ctx, const struct rec *rec, const struct st_completion *done)
	{
		Vm *vm = static_cast<Vm *>(ctx);
		vm->done = *done;
		vm->proposed.push_back(*rec);
		vm->proposed.back().writer = vm->self;
		vm->proposed.back().sequence = ++vm->sequence;
		return CW_OK;
	}
	uint64_t self;
	uint64_t sequence = 0;
	struct bd_board *board = nullptr;
	struct st_state *state = nullptr;
	std::vector<struct rec> proposed;
	struct fl_claims claims = {};
	struct st_completion done = {};
};

void
apply_all(std::vector<Vm *> vms, const std::vector<struct rec> &log,
    uint64_t first, std::vector<int> *codes)
{
	for (size_t i = 0; i < log.size(); i++)
		for (size_t v = 0; v < vms.size(); v++) {
			int code = st_apply(vms[v]->state, &log[i], first + i);
			if (v == 0 && codes != nullptr)
				codes->push_back(code);
		}
}

// Guards against two holders of a duty after concurrent claims.
TEST(FleetDuty, ConcurrentClaimsYieldOneHolder)
{
	Vm a(11), b(22);
	std::vector<int> codes;

	for (Vm *vm : {&a, &b}) {
		vm->set_member(11, BD_MEMBER_ALIVE, 1000);
		vm->set_member(22, BD_MEMBER_ALIVE, 1000);
		vm->decide(60000);
	}
	std::vector<struct rec> log = a.proposed;
	log.insert(log.end(), b.proposed.begin(), b.proposed.end());
	ASSERT_EQ(log.size(), 2u * (BD_DUTY_END - 1));
	apply_all({&a, &b}, log, 1, &codes);
	for (size_t i = 0; i < a.proposed.size(); i++)
		EXPECT_EQ(codes[i], CW_OK);
	for (size_t i = a.proposed.size(); i < log.size(); i++)
		EXPECT_EQ(codes[i], ST_ESTALE);
	EXPECT_EQ(st_digest(a.state), st_digest(b.state));
	EXPECT_TRUE(fl_duty_is_held(b.board, BD_DUTY_PLACEMENT, 11));
	EXPECT_FALSE(fl_duty_is_held(b.board, BD_DUTY_PLACEMENT, 22));
}

// Guards against a duty that stays with a dead holder, and against a delayed
// claim of a former holder that was only paused: its epoch is stale.
TEST(FleetDuty, MovesAfterHolderDeathAndStaleClaimIsRejected)
{
	Vm a(11), b(22);

	a.set_member(11, BD_MEMBER_ALIVE, 0);
	a.decide(60000);
	apply_all({&a, &b}, a.proposed, 1, nullptr);
	b.set_member(11, BD_MEMBER_SUSPECT, 50000);
	b.set_member(22, BD_MEMBER_ALIVE, 60000);
	b.decide(60000);
	ASSERT_EQ(b.proposed.size(), (size_t)BD_DUTY_END - 1);
	std::vector<struct rec> stale = a.proposed;
	for (struct rec &rec : stale)
		rec.sequence += 100;
	apply_all({&a, &b}, b.proposed, 100, nullptr);
	std::vector<int> codes;
	apply_all({&a, &b}, stale, 200, &codes);
	for (int code : codes)
		EXPECT_EQ(code, ST_ESTALE);
	EXPECT_TRUE(fl_duty_is_held(a.board, BD_DUTY_PLACEMENT, 22));
	EXPECT_EQ(st_digest(a.state), st_digest(b.state));
}

// Guards against a repeated append that is applied twice.
TEST(FleetDuty, RepeatedRecordIsAppliedOnce)
{
	Vm a(11);

	a.set_member(11, BD_MEMBER_ALIVE, 0);
	a.decide(60000);
	std::vector<int> codes;
	apply_all({&a}, a.proposed, 1, nullptr);
	uint64_t digest = st_digest(a.state);
	apply_all({&a}, a.proposed, 100, &codes);
	for (int code : codes)
		EXPECT_EQ(code, ST_EREPEATED);
	EXPECT_EQ(st_digest(a.state), digest);
}

// Guards against a claim that is proposed repeatedly while the log is slow, and
// against one that is not retried after a failure.
TEST(FleetDuty, PendingClaimIsNotProposedAgain)
{
	const size_t duties = BD_DUTY_END - 1;
	const struct {
		int status; // of the last duty's claim; 1: none yet
		int64_t at_ms;
		size_t proposed;
	} steps[] = {
	    {1, 60000, duties},
	    {1, 60000 + FL_CLAIM_PENDING_MS - 1, duties},
	    {ST_EUNAVAILABLE, 60000 + FL_CLAIM_PENDING_MS - 1, duties + 1},
	    {1, 60000 + FL_CLAIM_PENDING_MS, 2 * duties},
	};
	Vm a(11);
	a.set_member(11, BD_MEMBER_ALIVE, 0);
	for (const auto &step : steps) {
		if (step.status <= 0)
			a.done.call(a.done.ctx, step.status, 0);
		a.decide(step.at_ms);
		EXPECT_EQ(a.proposed.size(), step.proposed);
	}
}

// Guards against a VM that claims every duty at its start, before a heartbeat
// of the holder can have arrived, and against VMs of all ranks that claim at
// once after a death.
TEST(FleetDuty, NewVmWaitsAndRanksDelayClaims)
{
	Vm a(11);
	struct bd_member self = {};
	self.id = 11;
	self.since_ms = 50000;
	bd_put(a.board, BD_TABLE_member, BD_WRITER_MEMBERSHIP, 11, &self,
	    sizeof(self), nullptr);
	EXPECT_EQ(a.decide(50000), 50000 + FL_SUSPECT_AFTER_MS);
	EXPECT_TRUE(a.proposed.empty());
	for (uint64_t other = 100; other < 108; other++)
		a.set_member(other, BD_MEMBER_ALIVE, 50000);
	for (int64_t ms = 50000; ms < 60000; ms += 100) {
		a.decide(ms);
		for (const struct rec &rec : a.proposed) {
			bd_read_begin();
			int64_t rank =
			    fl_rendezvous_rank(a.board, rec.body.duty.duty, 11);
			bd_read_end();
			EXPECT_GE(
			    ms, 50000 + FL_SUSPECT_AFTER_MS + rank * 1000);
		}
	}
	EXPECT_GE(a.proposed.size(), (size_t)BD_DUTY_END - 1);
}

// Guards against duties that are not released at a graceful shutdown, and
// against a duty that moves too late after the death of its holder: 5.2 s are
// allowed, and the test requires 5 s.
TEST(FleetDuty, MovesInTimeAfterDeathAndShutdown)
{
	for (bool shutdown : {false, true}) {
		struct sim *sim = sim_create(9, 4);
		sim_run(sim, 20000);
		uint64_t holder = sim_holder(sim, 0, BD_DUTY_PLACEMENT);
		uint32_t at = 0;
		while (at < 8 && sim->vms[at].incarnation != holder)
			at++;
		ASSERT_EQ(sim->vms[at].incarnation, holder);
		if (shutdown)
			fl_leave(sim->vms[at].fleet, false, sim->now_ms);
		else
			sim_kill(sim, at);
		int64_t ms = 0;
		uint32_t other = (at + 1) % 9;
		for (; ms < 10000 &&
		     (sim_holder(sim, other, BD_DUTY_PLACEMENT) == holder ||
			 sim_holder(sim, other, BD_DUTY_PLACEMENT) == 0);
		     ms += 20)
			sim_run(sim, 20);
		EXPECT_LT(ms, shutdown ? 1500 : 5000);
		sim_destroy(sim);
	}
}

// Guards against jobs that stay with a dead owner, that all move to one VM, or
// that are taken from a live owner.
TEST(FleetDuty, JobsOfDeadOwnersAreSpread)
{
	std::vector<size_t> taken;
	for (uint64_t self : {11, 22, 33}) {
		Vm vm(self);
		for (uint64_t id : {11, 22, 33})
			vm.set_member(id, BD_MEMBER_ALIVE, 0);
		vm.set_member(44, BD_MEMBER_DEAD, 0);
		for (uint64_t i = 1; i <= 120; i++) {
			struct bd_job job = {};
			job.id = i;
			job.owner = i % 2 ? 44 : 22;
			job.state = i % 10 == 9 ? BD_JOB_DONE : BD_JOB_RUNNING;
			bd_put(vm.board, BD_TABLE_job, BD_WRITER_STATE, i, &job,
			    sizeof(job), nullptr);
		}
		struct st_sink sink = {Vm::propose, &vm};
		int64_t next = INT64_MAX;
		ASSERT_EQ(fl_jobs_decide(
			      vm.board, self, 500, &sink, &vm.claims, &next),
		    CW_OK);
		for (const struct rec &rec : vm.proposed) {
			EXPECT_EQ(rec.body.job_owner.job % 2, 1u);
			EXPECT_NE(rec.body.job_owner.job % 10, 9u);
		}
		taken.push_back(vm.proposed.size());
		EXPECT_EQ(next, 1000);
		// A leaving VM hands its own jobs to the others.
		vm.proposed.clear();
		vm.claims = {};
		EXPECT_EQ(
		    fl_jobs_release(vm.board, 22, 500, &sink, &vm.claims), 60);
		EXPECT_EQ(vm.proposed.size(), 60u);
		for (const struct rec &rec : vm.proposed)
			EXPECT_TRUE(rec.body.job_owner.owner == 11 ||
			    rec.body.job_owner.owner == 33);
	}
	EXPECT_EQ(taken[0] + taken[1] + taken[2], 48u);
	for (size_t count : taken)
		EXPECT_GT(count, 5u);
}

// Guards against at-most-once entries and ended jobs that are never removed, or
// removed early.
TEST(FleetDuty, EntriesExpireAfterRetentionPeriod)
{
	const struct {
		int64_t age_ms;
		uint64_t holder;
		size_t proposed;
	} rows[] = {{1001, 11, 2}, {999, 11, 0}, {1001, 22, 0}};
	for (const auto &row : rows) {
		Vm vm(11);
		struct bd_config config = {};
		struct bd_duty duty = {BD_DUTY_EXPIRY, row.holder, 1, 0};
		struct bd_request request = {};
		struct bd_job job = {};
		config.request_keep_ms = 1000;
		request.intent_ms = job.ended_ms = 500000 - row.age_ms;
		job.state = BD_JOB_DONE;
		bd_put(vm.board, BD_TABLE_config, BD_WRITER_STATE, BD_CONFIG_ID,
		    &config, sizeof(config), nullptr);
		bd_put(vm.board, BD_TABLE_duty, BD_WRITER_STATE, duty.id, &duty,
		    sizeof(duty), nullptr);
		bd_put(vm.board, BD_TABLE_request, BD_WRITER_STATE, 1, &request,
		    sizeof(request), nullptr);
		bd_put(vm.board, BD_TABLE_job, BD_WRITER_STATE, 1, &job,
		    sizeof(job), nullptr);
		struct st_sink sink = {Vm::propose, &vm};
		EXPECT_EQ(fl_expiry_decide(
			      vm.board, 11, 0, 500000, &sink, &vm.claims),
		    CW_OK);
		ASSERT_EQ(vm.proposed.size(), row.proposed);
		if (row.proposed != 0) {
			EXPECT_EQ(
			    vm.proposed[0].body.req_expire.before_ms, 499000);
		}
	}
}

} // namespace
