#include <gtest/gtest.h>

#include <cstdlib>

#include "state_world.h"

namespace {

// Runs a session: each line is a record, or "show" with names of tables.
std::string
run_session(const std::string &session)
{
	World world;
	std::istringstream in(session);
	std::string line, out;

	while (std::getline(in, line)) {
		if (line.empty() || line[0] == '#')
			continue;
		if (line.compare(0, 4, "show") == 0) {
			out += line + "\n" + world.tables_text(line.substr(4));
			continue;
		}
		uint64_t position = world.next;
		int code = world.apply(line);
		out += std::to_string(position) + " " + line + "\n  -> " +
		    (code == CW_OK ? "applied" : st_status_name(code)) + "\n";
	}
	return out;
}

// The lines in which two texts differ.
std::string
differences(const std::string &expected, const std::string &actual)
{
	std::istringstream a(expected), b(actual);
	std::string left, right, out;

	for (int number = 1;; number++) {
		bool has_left = (bool)std::getline(a, left);
		bool has_right = (bool)std::getline(b, right);
		if (!has_left && !has_right)
			return out;
		if (has_left && has_right && left == right)
			continue;
		out += "line " + std::to_string(number) + "\n";
		if (has_left)
			out += "- " + left + "\n";
		if (has_right)
			out += "+ " + right + "\n";
	}
}

// Guards against a rule that changes unnoticed: whole sessions and the tables
// that they lead to. UPDATE_GOLDEN=1 rewrites the files.
TEST(StateSession, GoldenSessions)
{
	for (const char *name : {"gang", "operators"}) {
		std::string path = golden_path(std::string(name) + ".out");
		std::string actual = run_session(
		    read_file(golden_path(std::string(name) + ".txt")));
		if (getenv("UPDATE_GOLDEN") != nullptr)
			std::ofstream(path) << actual;
		EXPECT_EQ(differences(read_file(path), actual), "") << path;
	}
}

const uint64_t workers = 6;
const int writers = 3;

// Draws records, most of them sensible, from the tables of a world.
struct History : World {
	explicit History(uint64_t seed) : rng{seed}
	{
	}
	uint32_t
	below(uint32_t bound)
	{
		return cw_rng_below(&rng, bound);
	}
	template <typename Row>
	Row
	any(enum bd_table_number table)
	{
		uint32_t skip = below(bd_row_count(board, table) + 1);
		uint32_t cursor = 0;
		Row found = {};

		bd_read_begin();
		while (
		    const void *row = bd_next(board, table, &cursor, nullptr)) {
			found = *(const Row *)row;
			if (skip-- == 0)
				break;
		}
		bd_read_end();
		return found;
	}
	// The epoch, or now and then another one.
	uint64_t
	epoch(uint64_t right)
	{
		return below(10) == 0 ? right / 2 : right;
	}
	void
	draw_slots(bd_slot *slots, uint32_t count, uint32_t accels)
	{
		for (uint32_t i = 0; i < count; i++)
			slots[i] = {1 + below(workers),
			    ((1u << accels) - 1) << below(9 - accels), 0};
	}
	struct rec
	draw()
	{
		struct rec rec = {};
		bd_job job = any<bd_job>(BD_TABLE_job);
		bd_promise promise = any<bd_promise>(BD_TABLE_promise);
		bd_worker worker = any<bd_worker>(BD_TABLE_worker);
		uint64_t account = cw_id_from_name(below(2) ? "a" : "b");
		bool own = below(3) == 0;

		rec.kind = 1 + below(REC_JOB_EXPIRE);
		if (below(2)) // most records are about gangs
			rec.kind = REC_JOB_SUBMIT + below(6);
		else if (below(4) == 0)
			rec.kind = REC_PLAN;
		switch (rec.kind) {
		case REC_CONFIG:
			rec = parse(std::string("config author=x text=") +
			    (below(2) ? "one.toml" : "two.toml"));
			bd_read_begin();
			if (const bd_config *config =
				bd_config_lookup(board, BD_CONFIG_ID))
				rec.body.config.base_version =
				    epoch(config->version);
			bd_read_end();
			break;
		case REC_WORKER:
			rec.body.worker.facts.id = 1 + below(workers);
			if (rec.body.worker.facts.id == worker.id)
				rec.body.worker.epoch = epoch(worker.epoch);
			rec.body.worker.facts.cores_milli = 64000;
			rec.body.worker.facts.memory_mb = 1 << 17;
			rec.body.worker.facts.accels = 8;
			rec.body.worker.facts.state = below(8) ? 0 : below(3);
			break;
		case REC_JOB_SUBMIT:
			rec.body.job_submit.account = account;
			rec.body.job_submit.shape = {(uint16_t)(1 + below(3)),
			    (uint16_t)below(5), 1000 * below(9),
			    1024 * below(9)};
			rec.body.job_submit.submit_key[0] =
			    below(2) ? 0 : 'a' + below(26);
			break;
		case REC_JOB_CANCEL:
		case REC_JOB_OWNER:
			rec.body.job_owner = {job.id, epoch(job.epoch), 9};
			break;
		case REC_PLACE:
			for (int i = 0; i < 8 && job.state; i++)
				job = any<bd_job>(BD_TABLE_job);
			for (int i = 0; i < 8 &&
			     (!promise.slot_count ||
				 promise.account != job.account);
			     i++)
				promise = any<bd_promise>(BD_TABLE_promise);
			rec.body.place.job = job.id;
			rec.body.place.epoch = epoch(job.epoch);
			rec.body.place.promise =
			    own && promise.slot_count ? promise.id : 0;
			rec.body.place.member_count = job.shape.members;
			draw_slots(rec.body.place.members, job.shape.members,
			    job.shape.accels);
			for (int i = 0; own && i < job.shape.members; i++) {
				bd_slot &slot = rec.body.place.members[i];
				slot = promise.slots[i];
				while (__builtin_popcount(slot.accel_mask) >
				    job.shape.accels)
					slot.accel_mask &= slot.accel_mask - 1;
			}
			break;
		case REC_GANG_STARTED:
		case REC_GANG_ENDED:
		case REC_PREEMPT:
		case REC_CHECKPOINT:
			rec.body.gang_ended = {
			    job.id, epoch(job.token), 0, 0, 0, 0};
			if (rec.kind != REC_GANG_ENDED)
				break;
			rec.body.gang_ended.worker = worker.id;
			rec.body.gang_ended.outcome = below(3);
			rec.body.gang_ended.reason = below(BD_REASON_COUNT);
			break;
		case REC_PLAN:
			rec.body.plan.promise = promise.id;
			rec.body.plan.epoch = epoch(promise.epoch);
			if (below(4) == 0)
				break;
			rec.body.plan.slot_count = promise.shape.members;
			draw_slots(rec.body.plan.slots, promise.shape.members,
			    promise.shape.accels);
			break;
		case REC_SHORT:
			rec.body.short_since = {
			    promise.id, epoch(promise.epoch), 5};
			break;
		case REC_DUTY:
			rec.body.duty = {1 + below(5), below(3), below(3)};
			break;
		case REC_QUARANTINE:
			rec.body.quarantine = {
			    worker.id, epoch(worker.epoch), below(2)};
			break;
		case REC_REQ_INTENT:
		case REC_REQ_OUTCOME:
			rec.body.req_intent.id = 1 + below(20);
			rec.body.req_intent.request_id = 1 + below(5);
			rec.body.req_intent.account =
			    rec.kind == REC_REQ_INTENT ? account : 0;
			break;
		default: // expiry of what is older than a while
			rec.body.req_expire.before_ms =
			    now_ms - 1000 * (int64_t)below(2000);
			break;
		}
		return rec;
	}
	// The next entry of the log; kept ones come again, late.
	std::string
	entry()
	{
		std::vector<rec_bytes> records;
		uint64_t writer = 1 + below(writers);
		void *data;
		size_t bytes;

		if (!old.empty() && below(8) == 0)
			return old[below(old.size())];
		for (uint32_t i = 1 + below(4); i > 0; i--) {
			struct rec rec = draw();
			rec.version = REC_VERSION;
			rec.writer = writer;
			rec.sequence = ++sequences[writer];
			rec.time_ms = now_ms += 1000;
			EXPECT_EQ(rec_encode(&rec, &data, &bytes), CW_OK);
			records.push_back({data, bytes});
		}
		rec_batch_encode(records.data(), records.size(), &data, &bytes);
		std::string entry((char *)data, bytes);
		free(data);
		for (rec_bytes &record : records)
			free((void *)record.data);
		old.push_back(entry);
		return entry;
	}
	struct cw_rng rng;
	int64_t now_ms = 1000000;
	std::map<uint64_t, uint64_t> sequences;
	std::vector<std::string> old;
};

// What must hold of any tables: no accelerator twice, sums that are those of
// the tasks and plans, and plans that hold only their account's guaranteed
// gangs or borrowed ones.
void
check_invariants(const World &world)
{
	struct Sum {
		uint32_t mask, cores, memory, planned, planned_cores;
		std::map<uint64_t, uint32_t> plans; // mask by promise
	};
	std::map<uint64_t, Sum> sums;
	uint32_t cursor = 0;

	bd_read_begin();
	while (const bd_promise *row = bd_promise_next(world.board, &cursor))
		for (uint32_t i = 0; i < row->slot_count; i++) {
			Sum &sum = sums[row->slots[i].worker];
			EXPECT_EQ(sum.planned & row->slots[i].accel_mask, 0u);
			sum.planned |= row->slots[i].accel_mask;
			sum.planned_cores += row->shape.cores_milli;
			sum.plans[row->id] |= row->slots[i].accel_mask;
		}
	cursor = 0;
	while (const bd_task *row = bd_task_next(world.board, &cursor)) {
		const bd_job *job = bd_job_lookup(world.board, row->job);
		Sum &sum = sums[row->worker];
		ASSERT_NE(job, nullptr);
		EXPECT_EQ(job->token, row->token);
		EXPECT_EQ(sum.mask & row->accel_mask, 0u);
		sum.mask |= row->accel_mask;
		sum.cores += job->shape.cores_milli;
		sum.memory += job->shape.memory_mb;
		if (job->promise != 0) {
			const bd_promise *promise =
			    bd_promise_lookup(world.board, job->promise);
			ASSERT_NE(promise, nullptr);
			EXPECT_EQ(promise->account, job->account);
			EXPECT_EQ(
			    row->accel_mask & ~sum.plans[job->promise], 0u);
		}
	}
	cursor = 0;
	while (const bd_worker *row = bd_worker_next(world.board, &cursor)) {
		const Sum &sum = sums[row->id];
		EXPECT_EQ(row->used_mask, sum.mask);
		EXPECT_EQ(row->used_cores_milli, sum.cores);
		EXPECT_EQ(row->used_memory_mb, sum.memory);
		EXPECT_EQ(row->planned_mask, sum.planned);
		EXPECT_EQ(row->planned_cores_milli, sum.planned_cores);
	}
	bd_read_end();
}

// Guards against tables that depend on anything but the log: two VMs that
// replay a random history with repeated, stale and late records agree, and so
// does one that starts from a snapshot taken at any point.
TEST(StateSession, RandomHistoriesGiveEqualDigests)
{
	uint64_t placed = 0, guaranteed = 0;

	for (uint64_t seed = 1; seed <= 12; seed++) {
		History first(seed);
		World second;
		std::vector<std::string> log;
		void *image;
		size_t bytes;
		uint64_t snapshot_at = seed * 23 % 400;

		SCOPED_TRACE(seed);
		for (uint64_t offset = 0; offset < 400; offset++) {
			log.push_back(first.entry());
			st_apply_entry(first.state, offset, log[offset].data(),
			    log[offset].size(), nullptr);
			if (offset == snapshot_at) {
				ASSERT_EQ(st_image_encode(
					      first.state, &image, &bytes),
				    CW_OK);
			}
			if (offset % 20 == 0)
				check_invariants(first);
			bd_job job = first.any<bd_job>(BD_TABLE_job);
			placed += job.token != 0;
			guaranteed += job.promise != 0;
		}
		check_invariants(first);
		for (uint64_t offset = 0; offset < log.size(); offset++)
			st_apply_entry(second.state, offset, log[offset].data(),
			    log[offset].size(), nullptr);
		EXPECT_EQ(st_digest(second.state), st_digest(first.state));
		World third;
		ASSERT_EQ(
		    st_image_load(third.state, image, bytes, false), CW_OK);
		free(image);
		for (uint64_t offset = snapshot_at + 1; offset < log.size();
		     offset++)
			st_apply_entry(third.state, offset, log[offset].data(),
			    log[offset].size(), nullptr);
		EXPECT_EQ(st_digest(third.state), st_digest(first.state));
		EXPECT_EQ(third.tables_text(), first.tables_text());
	}
	// The histories must reach the states that the rules are about.
	EXPECT_GT(placed, 100u);
	EXPECT_GT(guaranteed, 10u);
}

} // namespace
