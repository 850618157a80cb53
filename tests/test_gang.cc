#include <gtest/gtest.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "pool.h"

namespace {

constexpr int64_t TICK_MS = 100;
constexpr int64_t LEASE_MS = 120000;
constexpr uint64_t ACCOUNT = 77;
constexpr uint32_t MEMBERS = 4;

// Workers in memory that follow the token rule. Two members on each.
struct Workers {
	struct Task {
		uint32_t state;
		uint64_t worker;
		uint32_t mask;
		int64_t lease_until, started, resume, checkpoint;
	};
	using Key = std::tuple<uint64_t, uint64_t, uint32_t>;
	enum Fault {
		REFUSE = 1,
		SILENT,
		LOSE_ANSWER
	};

	std::map<Key, Task> tasks;
	std::map<std::pair<uint64_t, uint32_t>, uint64_t> floor;
	std::map<uint64_t, int> faults;    // by worker
	std::map<int, int> verb_faults;    // of member 1, by verb
	std::set<uint64_t> failing;        // tasks on these workers fail
	std::map<Key, int64_t> part_since; // token 0 for member: whole gang
	int64_t run_ms = 3000;
	int64_t worst_part_ms = 0;
	int clashes = 0; // reservations that had to end a running task

	void
	end(const Key &key, Task &task, uint32_t state)
	{
		task.state = state;
		for (uint32_t bit = 0; bit < 32; bit++)
			if (task.mask >> bit & 1) {
				uint64_t &low = floor[{task.worker, bit}];
				low = std::max(low, std::get<1>(key) + 1);
			}
	}
	// Brings all tasks up to now and measures how long part of a gang has
	// run without the rest.
	void
	advance(int64_t now)
	{
		std::map<std::pair<uint64_t, uint64_t>, std::pair<int, int>>
		    use;

		for (auto it = tasks.begin(); it != tasks.end();) {
			Task &task = it->second;
			if (task.state == PF_TASK_RESERVED &&
			    now >= task.lease_until) {
				it = tasks.erase(it);
				continue;
			}
			if (task.state == PF_TASK_RUNNING &&
			    failing.count(task.worker))
				end(it->first, task, PF_TASK_FAILED);
			else if (task.state == PF_TASK_RUNNING &&
			    task.resume + now - task.started >= run_ms)
				end(it->first, task, PF_TASK_DONE);
			else if ((task.state == PF_TASK_RUNNING ||
				     task.state == PF_TASK_COMMITTED) &&
			    now >= task.lease_until)
				end(it->first, task, PF_TASK_LAPSED);
			auto &count = use[{
			    std::get<0>(it->first), std::get<1>(it->first)}];
			count.first += task.state == PF_TASK_RUNNING;
			count.second += task.state == PF_TASK_DONE;
			++it;
		}
		for (auto &[gang, count] : use) {
			Key key{gang.first, gang.second, 0};
			if (count.first == 0 ||
			    count.first + count.second == (int)MEMBERS) {
				part_since.erase(key);
				continue;
			}
			part_since.emplace(key, now);
			worst_part_ms =
			    std::max(worst_part_ms, now - part_since[key]);
		}
	}
	int
	act(uint32_t verb, const Key &key, uint64_t worker, uint32_t mask,
	    int64_t resume, int64_t now)
	{
		auto found = tasks.find(key);
		uint32_t state = found == tasks.end() ? 0 : found->second.state;
		uint64_t token = std::get<1>(key);

		if (verb == GANG_STOP) {
			Task none = {PF_TASK_STOPPED, worker, mask, 0, 0, 0, 0};
			if (state == 0)
				end(key, none, PF_TASK_STOPPED);
			else if (state <= PF_TASK_RUNNING)
				end(key, found->second, PF_TASK_STOPPED);
			return CW_OK;
		}
		if (verb == GANG_RESERVE) {
			if (state != 0)
				return state <= PF_TASK_RUNNING
				    ? 0
				    : (int)PF_EREFUSED;
			for (uint32_t bit = 0; bit < 32; bit++)
				if ((mask >> bit & 1) &&
				    floor[{worker, bit}] > token)
					return PF_EREFUSED;
			for (auto &[other, task] : tasks)
				if (task.worker == worker &&
				    (task.mask & mask) &&
				    task.state <= PF_TASK_RUNNING) {
					clashes +=
					    task.state == PF_TASK_RUNNING;
					end(other, task, PF_TASK_STOPPED);
				}
			for (uint32_t bit = 0; bit < 32; bit++)
				if (mask >> bit & 1)
					floor[{worker, bit}] = token;
			tasks[key] = {PF_TASK_RESERVED, worker, mask,
			    now + 10000, 0, 0, 0};
			return CW_OK;
		}
		if (state == PF_TASK_DONE)
			return CW_OK;
		if (state < PF_TASK_RESERVED || state > PF_TASK_RUNNING ||
		    (verb != GANG_COMMIT && state == PF_TASK_RESERVED))
			return PF_EREFUSED;
		Task &task = found->second;
		if (verb == GANG_COMMIT && state == PF_TASK_RESERVED)
			task.state = PF_TASK_COMMITTED;
		if (verb == GANG_START && state == PF_TASK_COMMITTED) {
			task.state = PF_TASK_RUNNING;
			task.started = now;
			task.resume = task.checkpoint = resume;
		}
		if (verb == GANG_CHECKPOINT)
			task.checkpoint = task.resume + now - task.started;
		else
			task.lease_until = now + LEASE_MS;
		return CW_OK;
	}
	// Carries out one call and fills in the answer.
	void
	call(struct gang_answer *answer, const struct gang_member &member,
	    int64_t resume, int64_t now)
	{
		Key key{answer->job, answer->token, answer->member};
		int fault =
		    faults.count(member.worker) ? faults[member.worker] : 0;

		if (answer->member == 1 && verb_faults.count(answer->verb))
			fault = verb_faults[answer->verb];
		advance(now);
		answer->sent_ms = now;
		answer->status = fault == REFUSE ? PF_EREFUSED : PF_EUNKNOWN;
		if (fault == REFUSE || fault == SILENT)
			return;
		if (answer->verb != GANG_REPORTS) {
			int code = act(answer->verb, key, member.worker,
			    member.accel_mask, resume, now);
			if (fault == 0)
				answer->status = code;
			return;
		}
		answer->status = CW_OK;
		auto found = tasks.find(key);
		answer->has_report = found != tasks.end();
		if (!answer->has_report)
			return;
		answer->report.state = found->second.state;
		answer->report.checkpoint_ms = found->second.checkpoint;
		answer->report.run_ms =
		    found->second.resume + now - found->second.started;
	}
	int
	count(uint32_t state) const
	{
		int total = 0;
		for (auto &entry : tasks)
			total += entry.second.state == state;
		return total;
	}
};

struct World;

// One entry VM: board, state, gangs.
struct Vm {
	Vm(World *world_in, uint64_t self_in) : world(world_in), self(self_in)
	{
		EXPECT_EQ(bd_board_create(&board), CW_OK);
		EXPECT_EQ(st_create(&state, board), CW_OK);
		EXPECT_EQ(
		    gang_set_create(&set, board, self, &gang_settings_default),
		    CW_OK);
		struct bd_account account = {};
		account.id = ACCOUNT;
		bd_put(board, BD_TABLE_account, BD_WRITER_STATE, ACCOUNT,
		    &account, sizeof(account), nullptr);
	}
	~Vm()
	{
		gang_set_destroy(set);
		st_destroy(state);
		bd_board_destroy(board);
	}
	Vm(const Vm &) = delete;
	Vm &operator=(const Vm &) = delete;

	void
	see(uint64_t member, enum bd_member_state member_state)
	{
		struct bd_member row = {};
		row.id = member;
		row.state = member_state;
		bd_put(board, BD_TABLE_member, BD_WRITER_MEMBERSHIP, member,
		    &row, sizeof(row), nullptr);
	}
	void follow();
	void step();
	static void take_call(void *ctx, const struct gang_call *call);
	static int propose(
	    void *ctx, const struct rec *rec, const struct st_done *done);

	World *world;
	uint64_t self;
	struct bd_board *board = nullptr;
	struct st_state *state = nullptr;
	struct gang_set *set = nullptr;
	size_t applied = 0;
	bool running = true;
	int calls_left = -1; // the VM dies after so many calls, -1: never
	std::vector<uint32_t> verbs;
	std::vector<std::pair<struct gang_answer, struct gang_member>> calls;
	std::vector<int64_t> resumes;
};

struct World {
	explicit World(uint32_t vm_count = 2)
	{
		for (uint32_t i = 0; i < vm_count; i++)
			vms.push_back(std::make_unique<Vm>(this, i + 1));
		for (auto &vm : vms)
			for (auto &other : vms)
				vm->see(other->self, BD_MEMBER_ALIVE);
		for (uint64_t w = 1; w <= 8; w++)
			add_worker(w, BD_WORKER_UP, 0);
		struct rec rec = {};
		rec.kind = REC_JOB_SUBMIT;
		rec.body.job_submit.account = ACCOUNT;
		rec.body.job_submit.owner = 1;
		rec.body.job_submit.shape = {MEMBERS, 2, 1000, 1000};
		append(rec);
		follow_all();
		job = log.size();
	}
	void
	add_worker(uint64_t id, uint32_t worker_state, uint64_t epoch)
	{
		struct rec rec = {};
		rec.kind = REC_WORKER;
		rec.body.worker.epoch = epoch;
		rec.body.worker.facts.id = id;
		rec.body.worker.facts.rack = (id - 1) / 4 + 1;
		rec.body.worker.facts.cores_milli = 64000;
		rec.body.worker.facts.memory_mb = 64000;
		rec.body.worker.facts.accels = 4;
		rec.body.worker.facts.state = worker_state;
		append(rec);
	}
	void
	append(struct rec rec)
	{
		rec.version = REC_VERSION;
		rec.writer = 99;
		rec.sequence = log.size() + 1;
		rec.time_ms = now;
		log.push_back(rec);
	}
	void
	follow_all()
	{
		for (auto &vm : vms)
			vm->follow();
	}
	// Places the job with two members on each of two workers.
	void
	place(uint64_t first_worker)
	{
		struct rec rec = {};
		rec.kind = REC_PLACE;
		rec.body.place.job = job;
		rec.body.place.epoch = row().epoch;
		rec.body.place.member_count = MEMBERS;
		for (uint32_t i = 0; i < MEMBERS; i++)
			rec.body.place.members[i] = {
			    first_worker + i / 2, i % 2 ? 0xcu : 0x3u, 0};
		append(rec);
		follow_all();
		EXPECT_EQ(row().state, (uint32_t)BD_JOB_PLACED);
	}
	void
	own(uint64_t owner)
	{
		struct rec rec = {};
		rec.kind = REC_JOB_OWNER;
		rec.body.job_owner = {job, row().epoch, owner};
		append(rec);
		follow_all();
	}
	void
	simple(uint32_t kind, int64_t deadline = 0)
	{
		struct rec rec = {};
		rec.kind = kind;
		if (kind == REC_JOB_CANCEL)
			rec.body.job_cancel.job = job;
		else
			rec.body.preempt = {job, row().token, 0,
			    BD_REASON_RECLAIMED, 0, deadline};
		append(rec);
		follow_all();
	}
	// The row as the last VM sees it, which never dies in these tests.
	struct bd_job
	row()
	{
		struct bd_job copy = {};
		bd_read_begin();
		const struct bd_job *found =
		    bd_job_lookup(vms.back()->board, job);
		if (found != nullptr)
			copy = *found;
		bd_read_end();
		return copy;
	}
	void
	run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += TICK_MS) {
			workers.advance(now);
			for (auto &vm : vms) {
				vm->follow();
				if (vm->running)
					vm->step();
			}
		}
		follow_all();
	}
	bool
	run_until(uint32_t wanted, int64_t limit_ms)
	{
		for (int64_t end = now + limit_ms;
		     now < end && row().state != wanted;)
			run(TICK_MS);
		return row().state == wanted;
	}
	// The last record of the kind.
	const struct rec *
	last(uint32_t kind) const
	{
		for (size_t i = log.size(); i > 0; i--)
			if (log[i - 1].kind == kind)
				return &log[i - 1];
		return nullptr;
	}
	int64_t now = 1000000;
	bool log_up = true;
	uint64_t job = 0;
	std::vector<struct rec> log;
	std::vector<std::unique_ptr<Vm>> vms;
	Workers workers;
};

void
Vm::follow()
{
	if (!running || !world->log_up)
		return;
	for (; applied < world->log.size(); applied++)
		st_apply(state, &world->log[applied], applied + 1);
}

void
Vm::take_call(void *ctx, const struct gang_call *call)
{
	Vm *vm = static_cast<Vm *>(ctx);
	struct gang_answer answer = {};
	answer.job = call->gang->job;
	answer.token = call->gang->token;
	answer.member = call->member;
	answer.verb = call->verb;
	answer.sequence = call->gang->members[call->member].sequence;
	vm->calls.emplace_back(answer, call->gang->members[call->member]);
	vm->resumes.push_back(call->job ? call->job->progress_ms : 0);
}

int
Vm::propose(void *ctx, const struct rec *rec, const struct st_done *)
{
	Vm *vm = static_cast<Vm *>(ctx);
	// Guards against an end that is recorded while members still run on
	// workers that answer.
	if (rec->kind == REC_GANG_ENDED)
		for (auto &entry : vm->world->workers.tasks)
			if (std::get<1>(entry.first) ==
				rec->body.gang_ended.token &&
			    !vm->world->workers.faults.count(
				entry.second.worker)) {
				EXPECT_GT(entry.second.state,
				    (uint32_t)PF_TASK_RUNNING);
			}
	if (!vm->world->log_up)
		return ST_EUNAVAILABLE;
	vm->world->append(*rec);
	return CW_OK;
}

// Steps until nothing more is called at this time.
void
Vm::step()
{
	struct gang_out out = {take_call, this, {propose, this}};
	do {
		calls.clear();
		resumes.clear();
		gang_set_step(set, world->now, &out);
		for (size_t i = 0; i < calls.size(); i++) {
			if (calls_left == 0) {
				running = false;
				return;
			}
			calls_left -= calls_left > 0;
			verbs.push_back(calls[i].first.verb);
			world->workers.call(&calls[i].first, calls[i].second,
			    resumes[i], world->now);
		}
		for (auto &call : calls)
			gang_set_answer(set, &call.first, world->now);
		follow();
	} while (!calls.empty());
}

// Guards against a start that skips a step or a finish that is not recorded.
TEST(Gang, StartsWholeAndEndsDone)
{
	World world;
	world.place(1);
	ASSERT_TRUE(world.run_until(BD_JOB_RUNNING, 1000));
	std::vector<uint32_t> expected;
	for (uint32_t verb :
	    {GANG_REPORTS, GANG_RESERVE, GANG_COMMIT, GANG_START})
		expected.insert(expected.end(), MEMBERS, verb);
	EXPECT_EQ(world.vms[0]->verbs, expected);
	EXPECT_TRUE(world.vms[1]->verbs.empty());
	ASSERT_TRUE(world.run_until(BD_JOB_DONE, 10000));
	EXPECT_EQ(world.workers.count(PF_TASK_DONE), (int)MEMBERS);
	world.run(1000);
	EXPECT_EQ(gang_set_count(world.vms[0]->set), 0u);
}

// Guards against part of a gang left behind, and against blame of the wrong
// worker, when one member cannot take a step.
TEST(Gang, AnyRefusalOrSilenceAbortsAll)
{
	const struct {
		uint32_t verb;
		int fault;
		uint32_t reason;
	} rows[] = {
	    {GANG_RESERVE, Workers::REFUSE, BD_REASON_RESERVE_REFUSED},
	    {GANG_RESERVE, Workers::SILENT, BD_REASON_MEMBER_FAILED},
	    {GANG_RESERVE, Workers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_COMMIT, Workers::REFUSE, BD_REASON_RESERVE_REFUSED},
	    {GANG_COMMIT, Workers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_START, Workers::REFUSE, BD_REASON_LEASE_LAPSED},
	    {GANG_START, Workers::SILENT, BD_REASON_MEMBER_FAILED},
	    {GANG_START, Workers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	};
	for (const auto &fault : rows) {
		World world;
		world.workers.verb_faults[fault.verb] = fault.fault;
		world.place(1);
		ASSERT_TRUE(world.run_until(BD_JOB_WAITING, 6000))
		    << gang_verb_name(fault.verb) << fault.fault;
		const struct rec *ended = world.last(REC_GANG_ENDED);
		EXPECT_EQ(ended->body.gang_ended.reason, fault.reason);
		EXPECT_EQ(ended->body.gang_ended.worker, 1u);
		EXPECT_EQ(world.workers.count(PF_TASK_RUNNING) +
			world.workers.count(PF_TASK_COMMITTED) +
			world.workers.count(PF_TASK_RESERVED),
		    0);
		world.workers.verb_faults.clear();
		world.place(1);
		EXPECT_TRUE(world.run_until(BD_JOB_DONE, 10000));
		EXPECT_EQ(world.workers.clashes, 0);
	}
}

// Guards against a gang that is lost, doubled or left half started when its
// owner dies after any number of calls.
TEST(Gang, OwnerCrashAtEachCall)
{
	for (int calls = 0; calls <= 5 * (int)MEMBERS; calls++)
		for (int64_t takeover_ms : {500, 8000, 15000}) {
			World world;
			world.workers.run_ms = 20000;
			world.vms[0]->calls_left = calls;
			world.place(1);
			world.run(takeover_ms);
			world.vms[1]->see(1, BD_MEMBER_DEAD);
			world.own(2);
			bool done = world.run_until(BD_JOB_DONE, 60000);
			EXPECT_TRUE(done) << calls << " " << takeover_ms;
			EXPECT_EQ(world.workers.clashes, 0);
			EXPECT_LE(world.workers.worst_part_ms, LEASE_MS);
			EXPECT_EQ(world.row().attempts, 1u);
		}
}

// Guards against a restart that loses more than the last checkpoint, or that
// leaves the other members running.
TEST(Gang, FailedMemberRestartsAllFromTheCheckpoint)
{
	World world;
	world.workers.run_ms = 3600000;
	world.place(1);
	world.run(601000 + 5000);
	EXPECT_GE(world.row().progress_ms, 595000);
	world.workers.failing = {2};
	ASSERT_TRUE(world.run_until(BD_JOB_WAITING, 30000));
	EXPECT_EQ(world.last(REC_GANG_ENDED)->body.gang_ended.worker, 2u);
	EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_MEMBER_FAILED);
	EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
	int64_t progress = world.row().progress_ms;
	world.place(3);
	ASSERT_TRUE(world.run_until(BD_JOB_RUNNING, 1000));
	for (auto &entry : world.workers.tasks)
		if (entry.second.state == PF_TASK_RUNNING) {
			EXPECT_EQ(entry.second.resume, progress);
		}
}

// Guards against a job that fails everywhere and is tried for ever; failures
// without an answer are not the job's.
TEST(Gang, JobThatFailsOnThreeGoodWorkersEnds)
{
	World world;
	world.workers.verb_faults[GANG_RESERVE] = Workers::SILENT;
	for (uint64_t first : {1, 3, 5, 7}) {
		world.place(first);
		ASSERT_TRUE(world.run_until(BD_JOB_WAITING, 6000));
	}
	World other;
	other.workers.failing = {1, 3, 5};
	for (uint64_t first : {1, 3, 5}) {
		other.place(first);
		other.run(10000);
	}
	EXPECT_EQ(other.row().state, (uint32_t)BD_JOB_FAILED);
	EXPECT_EQ(
	    other.row().reason, (uint32_t)BD_REASON_JOB_FAILED_REPEATEDLY);
}

// Guards against a gang that runs on without a member whose worker went silent
// or was lost.
TEST(Gang, SilentWorkerLapsesAndTheRestStops)
{
	World world;
	world.workers.run_ms = 3600000;
	world.place(1);
	world.run(50000);
	world.workers.faults[2] = Workers::SILENT;
	ASSERT_TRUE(world.run_until(BD_JOB_WAITING, LEASE_MS + 6000));
	EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);
	EXPECT_EQ(world.last(REC_GANG_ENDED)->body.gang_ended.worker, 2u);
	world.run(LEASE_MS);
	EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
	EXPECT_LE(world.workers.worst_part_ms, LEASE_MS);

	World lost;
	lost.workers.run_ms = 3600000;
	lost.place(1);
	lost.run(5000);
	lost.workers.faults[2] = Workers::SILENT;
	bd_read_begin();
	uint64_t epoch = bd_worker_lookup(lost.vms[0]->board, 2)->epoch;
	bd_read_end();
	lost.add_worker(2, BD_WORKER_LOST, epoch);
	ASSERT_TRUE(lost.run_until(BD_JOB_WAITING, 1000));
	EXPECT_EQ(lost.row().reason, (uint32_t)BD_REASON_WORKER_LOST);

	// A worker that restarted and knows nothing of its tasks.
	World forgot;
	forgot.workers.run_ms = 3600000;
	forgot.place(1);
	forgot.run(5000);
	for (auto it = forgot.workers.tasks.begin();
	     it != forgot.workers.tasks.end();)
		it = it->second.worker == 2 ? forgot.workers.tasks.erase(it)
					    : std::next(it);
	ASSERT_TRUE(forgot.run_until(BD_JOB_WAITING, 45000));
	EXPECT_EQ(forgot.row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);
}

// Guards against gangs that lapse while the log is out of reach, with their
// owner alive or dead, and against a half started gang kept alive.
TEST(Gang, LogOutageKeepsWholeGangsOnly)
{
	for (bool owner_dies : {false, true}) {
		World world;
		world.workers.run_ms = 3600000;
		world.place(1);
		world.run(5000);
		world.log_up = false;
		world.run(5000);
		if (owner_dies) {
			world.vms[0]->running = false;
			world.vms[1]->see(1, BD_MEMBER_SUSPECT);
		}
		world.run(10 * LEASE_MS);
		EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
		world.log_up = true;
		world.workers.run_ms = 10 * LEASE_MS;
		if (owner_dies)
			world.own(2);
		EXPECT_TRUE(world.run_until(BD_JOB_DONE, 60000));
	}
	World half;
	half.workers.run_ms = 3600000;
	half.vms[0]->calls_left = 3 * MEMBERS + 2;
	half.place(1);
	half.run(1000);
	half.log_up = false;
	half.vms[1]->see(1, BD_MEMBER_DEAD);
	EXPECT_EQ(half.workers.count(PF_TASK_RUNNING), 2);
	half.run(LEASE_MS + 1000);
	EXPECT_EQ(half.workers.count(PF_TASK_RUNNING), 0);
	EXPECT_LE(half.workers.worst_part_ms, LEASE_MS);
}

// Guards against trust in leases after a pause, and against late messages of
// an owner that was replaced meanwhile.
TEST(Gang, PausedOwnerProvesFirst)
{
	World world(1);
	world.workers.run_ms = 3600000;
	world.place(1);
	world.run(5000);
	world.now += 100000;
	world.vms[0]->verbs.clear();
	world.run(TICK_MS);
	ASSERT_GE(world.vms[0]->verbs.size(), (size_t)MEMBERS);
	for (uint32_t i = 0; i < MEMBERS; i++)
		EXPECT_EQ(world.vms[0]->verbs[i], (uint32_t)GANG_RENEW);
	world.run(60000);
	EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
	world.now += LEASE_MS + 1000;
	EXPECT_TRUE(world.run_until(BD_JOB_WAITING, 10000));
	EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);

	// Started, not yet recorded, then paused: no record before the proof.
	World started(1);
	struct gang_out sink = {Vm::take_call, started.vms[0].get(),
	    {Vm::propose, started.vms[0].get()}};
	started.workers.run_ms = 3600000;
	started.place(1);
	started.log_up = false;
	started.run(5000);
	EXPECT_EQ(started.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
	started.log_up = true;
	started.now += 5000;
	size_t records = started.log.size();
	gang_set_step(started.vms[0]->set, started.now, &sink);
	EXPECT_EQ(started.log.size(), records);

	// Paused in the middle of each step of the start.
	for (int calls = 0; calls <= 4 * (int)MEMBERS; calls++) {
		World late;
		late.workers.run_ms = 200000;
		late.vms[0]->calls_left = calls;
		late.place(1);
		late.run(9000);
		late.own(2);
		late.run(20000);
		late.vms[0]->calls_left = -1;
		struct gang_out out = {Vm::take_call, late.vms[0].get(),
		    {Vm::propose, late.vms[0].get()}};
		// The old owner wakes up and does not know yet.
		late.vms[0]->calls.clear();
		gang_set_step(late.vms[0]->set, late.now, &out);
		for (auto &call : late.vms[0]->calls)
			late.workers.call(
			    &call.first, call.second, 0, late.now);
		late.vms[0]->running = true;
		EXPECT_TRUE(late.run_until(BD_JOB_DONE, 300000)) << calls;
		EXPECT_EQ(late.workers.clashes, 0);
		EXPECT_EQ(late.row().attempts, 1u);
	}
}

// Guards against a preemption that loses work, or that waits for a checkpoint
// past its deadline.
TEST(Gang, PreemptionSavesAndObeysTheDeadline)
{
	for (bool silent : {false, true}) {
		World world;
		world.workers.run_ms = 3600000;
		world.place(1);
		world.run(30000);
		if (silent)
			world.workers.verb_faults[GANG_CHECKPOINT] =
			    Workers::SILENT;
		int64_t begin = world.now;
		world.simple(REC_PREEMPT, begin + 4000);
		ASSERT_TRUE(world.run_until(BD_JOB_WAITING, 10000));
		EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_RECLAIMED);
		EXPECT_LE(world.now - begin, silent ? 4400 : 500);
		EXPECT_GE(world.row().progress_ms, silent ? 0 : 29000);
		EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
	}
}

// Guards against two answers to a cancellation that races with the start or
// the end of a gang, and against members that outlive it.
TEST(Gang, CancelRacesHaveOneAnswer)
{
	for (int64_t after_ms = 0; after_ms <= 4000; after_ms += 100)
		for (int calls = 0; calls <= 4 * (int)MEMBERS; calls += 3) {
			World world;
			// The owner sees the cancellation after some calls.
			world.vms[0]->calls_left = after_ms == 0 ? calls : -1;
			world.place(1);
			world.run(after_ms + TICK_MS);
			world.vms[0]->running = true;
			world.vms[0]->calls_left = -1;
			bool was_done = world.row().state == BD_JOB_DONE;
			world.simple(REC_JOB_CANCEL);
			world.run(1000);
			EXPECT_EQ(world.row().state,
			    (uint32_t)(was_done ? BD_JOB_DONE
						: BD_JOB_CANCELLED));
			EXPECT_EQ(world.row().token, 0u);
			EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
			if (after_ms != 0)
				break;
		}
}

// Guards against an answer that comes after its call was overtaken or given
// up, and is taken for the answer to a newer call.
TEST(Gang, LateAnswerIsIgnored)
{
	World world(1);
	Vm &vm = *world.vms[0];
	struct gang_out out = {Vm::take_call, &vm, {Vm::propose, &vm}};
	world.place(1);
	gang_set_step(vm.set, world.now, &out);
	auto late = vm.calls;
	world.now += 4000;
	gang_set_step(vm.set, world.now, &out); // paused: asks again
	vm.calls.clear();
	for (auto &call : late) {
		call.first.status = CW_OK;
		gang_set_answer(vm.set, &call.first, world.now);
	}
	gang_set_step(vm.set, world.now, &out);
	EXPECT_TRUE(vm.calls.empty());
}

// Workers that answer at once, except one whose calls wait until released.
struct Blocking {
	static int
	answer(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results)
	{
		Blocking *self = static_cast<Blocking *>(ctx);
		std::unique_lock<std::mutex> lock(self->mutex);
		bool held = false;

		for (size_t i = 0; i < count; i++)
			held = held || tasks[i].worker == self->held_worker;
		if (held)
			self->changed.wait(lock, [&] {
				return self->released;
			});
		for (size_t i = 0; i < count; i++)
			results[i] = held ? (int)PF_EUNKNOWN : 0;
		for (size_t i = 0; i < count; i++)
			self->calls[tasks[i].worker]++;
		self->messages++;
		self->changed.notify_all();
		return held ? (int)PF_EUNKNOWN : 0;
	}
	static int
	reports(void *ctx, const struct pf_task *tasks, size_t count,
	    const struct pf_report_sink *)
	{
		int results[PF_TASKS_MAX];
		return answer(ctx, tasks, count, results);
	}
	struct pf_tasks
	tasks()
	{
		return {answer, answer, answer, answer, answer, answer, answer,
		    reports, this};
	}
	static int64_t
	now(void *)
	{
		return cw_clock_mono_ms();
	}

	std::mutex mutex;
	std::condition_variable changed;
	uint64_t held_worker = 0;
	bool released = false;
	std::map<uint64_t, int> calls;
	int messages = 0;
};

// Guards against renewals of other racks that wait behind a silent worker, and
// against more than one message a rack.
TEST(Gang, SilentWorkerDoesNotDelayOtherRacks)
{
	World world;
	Blocking fake;
	struct pf_tasks tasks = fake.tasks();
	struct ctl_clock clock = {Blocking::now, nullptr};
	struct gang_settings settings = gang_settings_default;
	struct gang_runner *runner = nullptr;
	struct st_sink sink = {
	    [](void *, const struct rec *, const struct st_done *) {
		    return (int)CW_OK;
	    },
	    nullptr};
	struct ctl_spec spec = {"gang", gang_runner_step, nullptr};
	struct ctl *ctl = nullptr;

	// Members 0 and 1 on worker 4 of the first rack, 2 and 3 on worker 5
	// of the second.
	fake.held_worker = 4;
	settings.renew_ms = 50;
	settings.threads = 4;
	world.place(4);
	struct rec rec = {};
	rec.kind = REC_GANG_STARTED;
	rec.body.gang_started = {world.job, world.row().token};
	world.append(rec);
	world.follow_all();
	ASSERT_EQ(gang_runner_create(&runner, world.vms[0]->board, &tasks,
		      &sink, 1, &settings, &clock),
	    CW_OK);
	spec.ctx = runner;
	settings.lease_ms = 60000;
	ASSERT_EQ(ctl_start(&ctl, world.vms[0]->board, &spec, &clock), CW_OK);
	{
		std::unique_lock<std::mutex> lock(fake.mutex);
		EXPECT_TRUE(
		    fake.changed.wait_for(lock, std::chrono::seconds(30), [&] {
			    return fake.calls[5] >= 4;
		    }));
		EXPECT_EQ(fake.calls[4], 0);
		EXPECT_EQ(fake.calls[5], 2 * fake.messages);
		fake.released = true;
		fake.changed.notify_all();
	}
	ctl_stop(ctl);
	gang_runner_destroy(runner);
}

// Guards against silent workers that hold every thread of the pool.
TEST(Gang, SilentWorkersTakeHalfOfTheThreads)
{
	World world(1);
	Blocking fake;
	struct pf_tasks tasks = fake.tasks();
	struct ctl_clock clock = {Blocking::now, nullptr};
	struct pool *pool = nullptr;
	struct pool_item item = {};

	ASSERT_EQ(
	    pool_create(&pool, world.vms[0]->board, &tasks, &clock, 4), CW_OK);
	fake.held_worker = 4;
	item.verb = GANG_RENEW;
	for (int i = 0; i < 6; i++) {
		item.alone = i < 5;
		item.task.worker = i < 5 ? 4 : 5;
		pool_send(pool, &item, 1);
	}
	{
		std::unique_lock<std::mutex> lock(fake.mutex);
		EXPECT_TRUE(
		    fake.changed.wait_for(lock, std::chrono::seconds(30), [&] {
			    return fake.calls[5] == 1;
		    }));
		fake.released = true;
		fake.changed.notify_all();
	}
	pool_destroy(pool);
}

} // namespace
