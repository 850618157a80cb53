#include <gtest/gtest.h>

#include <vector>

#include "fleet.h"

namespace {

// One VM: its board, its state, and the shared list of records as the log.
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
	see(uint64_t member, enum bd_member_state member_state, int64_t heard)
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
		    fl_duty_decide(board, self, now_ms, &sink, &next), CW_OK);
		return next;
	}
	static int
	propose(void *ctx, const struct rec *rec, const struct st_done *)
	{
		Vm *vm = static_cast<Vm *>(ctx);
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

// Guards against two holders of one duty after racing claims.
TEST(FleetDuty, RacingClaimsGiveOneHolderEverywhere)
{
	Vm a(11), b(22);
	std::vector<int> codes;

	for (Vm *vm : {&a, &b}) {
		vm->see(11, BD_MEMBER_ALIVE, 1000);
		vm->see(22, BD_MEMBER_ALIVE, 1000);
		vm->decide(60000);
	}
	std::vector<struct rec> log = a.proposed;
	log.insert(log.end(), b.proposed.begin(), b.proposed.end());
	ASSERT_EQ(log.size(), 2u * (BD_DUTY_LIMIT - 1));
	apply_all({&a, &b}, log, 1, &codes);
	for (size_t i = 0; i < a.proposed.size(); i++)
		EXPECT_EQ(codes[i], CW_OK);
	for (size_t i = a.proposed.size(); i < log.size(); i++)
		EXPECT_EQ(codes[i], ST_ESTALE);
	EXPECT_EQ(st_digest(a.state), st_digest(b.state));
	EXPECT_TRUE(fl_duty_is_held(b.board, BD_DUTY_PLACEMENT, 11));
	EXPECT_FALSE(fl_duty_is_held(b.board, BD_DUTY_PLACEMENT, 22));
}

// Guards against a duty that stays with a dead holder, and against a claim by
// the holder that was only paused: its epoch is stale.
TEST(FleetDuty, MovesAfterADeathAndTheLateClaimIsRejected)
{
	Vm a(11), b(22);

	a.see(11, BD_MEMBER_ALIVE, 0);
	a.decide(60000);
	apply_all({&a, &b}, a.proposed, 1, nullptr);
	b.see(11, BD_MEMBER_SUSPECT, 50000);
	b.see(22, BD_MEMBER_ALIVE, 60000);
	b.decide(60000);
	ASSERT_EQ(b.proposed.size(), (size_t)BD_DUTY_LIMIT - 1);
	std::vector<struct rec> late = a.proposed;
	for (struct rec &rec : late)
		rec.sequence += 100;
	apply_all({&a, &b}, b.proposed, 100, nullptr);
	std::vector<int> codes;
	apply_all({&a, &b}, late, 200, &codes);
	for (int code : codes)
		EXPECT_EQ(code, ST_ESTALE);
	EXPECT_TRUE(fl_duty_is_held(a.board, BD_DUTY_PLACEMENT, 22));
	EXPECT_EQ(st_digest(a.state), st_digest(b.state));
}

// Guards against a repeated append that takes effect twice.
TEST(FleetDuty, RepeatedRecordIsAppliedOnce)
{
	Vm a(11);

	a.see(11, BD_MEMBER_ALIVE, 0);
	a.decide(60000);
	std::vector<int> codes;
	apply_all({&a}, a.proposed, 1, nullptr);
	uint64_t digest = st_digest(a.state);
	apply_all({&a}, a.proposed, 100, &codes);
	for (int code : codes)
		EXPECT_EQ(code, ST_EREPEATED);
	EXPECT_EQ(st_digest(a.state), digest);
}

} // namespace
