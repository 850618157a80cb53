#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

#include "config.h"
#include "fake_log.h"
#include "report.h"

namespace {

const int64_t HOUR_MS = 3600000;
const int64_t START_MS = 1800000000000; // 2027-01-15T08:00:00Z

const char CONFIG_TOML[] =
    "[fleet]\nentry_vms = 8\n"
    "[[account]]\nname = \"alpha\"\nquota = 8\n"
    "key_salt = \"00000000000000000000000000000000\"\n"
    "key_sha256 = \"00000000000000000000000000000000000000000000000000000000"
    "00000000\"\n"
    "[[account.guarantee]]\nmembers = 1\naccelerators = 4\ncores = 1\n"
    "memory = \"1GiB\"\ncopies = 1\n"
    "[[account]]\nname = \"beta\"\nquota = 8\n"
    "key_salt = \"00000000000000000000000000000000\"\n"
    "key_sha256 = \"00000000000000000000000000000000000000000000000000000000"
    "00000000\"\n";

struct ReportFixture {
	ReportFixture(int64_t from_ms, int64_t to_ms)
	{
		EXPECT_EQ(rp_builder_create(&builder, from_ms, to_ms), CW_OK);
		struct cfg_errors errors = {};
		struct cfg_config *parsed = nullptr;
		EXPECT_EQ(cfg_config_parse(CONFIG_TOML, strlen(CONFIG_TOML),
			      &parsed, &errors),
		    CW_OK)
		    << errors.errors[0].text;
		promise = parsed->promises[0].id;
		cfg_config_free(parsed);
	}
	~ReportFixture()
	{
		rp_builder_destroy(builder);
	}
	ReportFixture(const ReportFixture &) = delete;
	ReportFixture &operator=(const ReportFixture &) = delete;

	// Applies one record to the builder and appends it to the log as an
	// entry. Returns its position.
	template <typename Fill>
	uint64_t
	add(uint32_t kind, int64_t time_ms, Fill fill)
	{
		struct rec rec = {};
		struct rec_encoded bytes = {};
		void *data = nullptr, *batch = nullptr;
		uint64_t offset;

		position = st_position_make(count, 1);
		rec.version = REC_VERSION;
		rec.kind = kind;
		rec.writer = 7;
		rec.sequence = ++count;
		rec.time_ms = time_ms;
		fill(rec);
		EXPECT_EQ(rp_builder_apply(builder, &rec, position), CW_OK);
		EXPECT_EQ(rec_encode(&rec, &data, &bytes.bytes), CW_OK);
		bytes.data = data;
		size_t size = 0;
		EXPECT_EQ(rec_batch_encode(&bytes, 1, &batch, &size), CW_OK);
		EXPECT_EQ(FakeLog::append(
			      &log, ST_RECORD_STREAM, batch, size, &offset),
		    CW_OK);
		free(data);
		free(batch);
		return position;
	}
	uint64_t
	config(uint64_t base, int64_t time_ms)
	{
		return add(REC_CONFIG, time_ms, [&](struct rec &rec) {
			rec.body.config.base_version = base;
			rec.body.config.text = CONFIG_TOML;
			rec.body.config.text_bytes = strlen(CONFIG_TOML);
			strcpy(rec.body.config.author, "ops");
		});
	}
	void
	worker(const char *name, int64_t time_ms)
	{
		add(REC_WORKER, time_ms, [&](struct rec &rec) {
			struct bd_worker &facts = rec.body.worker.facts;
			facts.id = cw_id_from_name(name);
			facts.accels = 8;
			facts.cores_milli = 32000;
			facts.memory_mb = 65536;
			strcpy(facts.name, name);
		});
	}
	uint64_t
	submit(const char *account, const char *name, uint16_t accels,
	    int64_t declared_ms, int64_t time_ms)
	{
		return add(REC_JOB_SUBMIT, time_ms, [&](struct rec &rec) {
			auto &body = rec.body.job_submit;
			body.account = cw_id_from_name(account);
			body.shape = {1, accels, 1000, 1024};
			body.declared_ms = declared_ms;
			strcpy(body.name, name);
		});
	}
	// Places and starts a job; epoch is that of the waiting job.
	uint64_t
	place(uint64_t job, uint64_t epoch, uint64_t promise_id,
	    const char *name, uint32_t mask, int64_t time_ms)
	{
		uint64_t token = add(REC_PLACE, time_ms, [&](struct rec &rec) {
			rec.body.place.job = job;
			rec.body.place.epoch = epoch;
			rec.body.place.promise = promise_id;
			rec.body.place.member_count = 1;
			rec.body.place.members[0] = {
			    cw_id_from_name(name), mask, 0};
		});
		add(REC_GANG_STARTED, time_ms, [&](struct rec &rec) {
			rec.body.gang_started = {job, token};
		});
		return token;
	}
	uint64_t
	ended(uint64_t job, uint64_t token, uint32_t outcome, uint32_t reason,
	    int64_t progress_ms, int64_t time_ms)
	{
		return add(REC_GANG_ENDED, time_ms, [&](struct rec &rec) {
			rec.body.gang_ended = {job, token,
			    cw_id_from_name("w2"), outcome, reason,
			    progress_ms};
		});
	}
	void
	plan(uint64_t epoch, uint32_t slots, int64_t time_ms)
	{
		add(REC_PLAN, time_ms, [&](struct rec &rec) {
			rec.body.plan.promise = promise;
			rec.body.plan.epoch = epoch;
			rec.body.plan.slot_count = slots;
			rec.body.plan.slots[0] = {cw_id_from_name("w1"), 15, 0};
		});
	}
	// Applies half a day of two accounts: a reclaim, a restart, a failure,
	// a stale configuration, a guarantee without hardware, and a request
	// without an outcome.
	const struct rp_report *
	build_report()
	{
		uint64_t first_epoch = config(0, START_MS - HOUR_MS);
		worker("w1", START_MS - HOUR_MS);
		worker("w2", START_MS - HOUR_MS);
		plan(first_epoch, 1, START_MS - HOUR_MS);
		uint64_t plan_epoch = position;
		uint64_t borrowing_job = submit(
		    "beta", "=layout", 8, 4 * HOUR_MS, START_MS - HOUR_MS);
		uint64_t token = place(borrowing_job, borrowing_job, 0, "w1",
		    255, START_MS - HOUR_MS / 2);
		uint64_t guaranteed_job = submit(
		    "alpha", "match \"a\"", 4, 2 * HOUR_MS, START_MS + HOUR_MS);
		add(REC_PREEMPT, START_MS + HOUR_MS + 500,
		    [&](struct rec &rec) {
			    rec.body.preempt = {borrowing_job, token,
				guaranteed_job, BD_REASON_RECLAIMED, 0,
				START_MS + HOUR_MS + 4500};
		    });
		uint64_t epoch = ended(borrowing_job, token, REC_OUTCOME_RETRY,
		    BD_REASON_RECLAIMED, HOUR_MS, START_MS + HOUR_MS + 3500);
		uint64_t guaranteed_token =
		    place(guaranteed_job, guaranteed_job, promise, "w1", 15,
			START_MS + HOUR_MS + 4000);
		token = place(borrowing_job, epoch, 0, "w2", 255,
		    START_MS + HOUR_MS + 4000);
		ended(borrowing_job, token, REC_OUTCOME_FAILED,
		    BD_REASON_MEMBER_FAILED, HOUR_MS,
		    START_MS + 2 * HOUR_MS + 4000);
		config(1, START_MS + 2 * HOUR_MS + HOUR_MS / 2);
		config(1, START_MS + 2 * HOUR_MS + HOUR_MS / 2);
		ended(guaranteed_job, guaranteed_token, REC_OUTCOME_DONE, 0, 0,
		    START_MS + 3 * HOUR_MS + 4000);
		submit("beta", "queued", 2, HOUR_MS,
		    START_MS + 3 * HOUR_MS + HOUR_MS / 2);
		for (uint64_t id : {1, 2, 3})
			add(REC_REQ_INTENT,
			    START_MS + 3 * HOUR_MS + HOUR_MS / 2,
			    [&](struct rec &rec) {
				    rec.body.req_intent = {id, 100 + id,
					cw_id_from_name("alpha"), 0, 7, 0};
			    });
		for (uint64_t id : {1, 2})
			add(REC_REQ_OUTCOME,
			    START_MS + 3 * HOUR_MS + HOUR_MS / 2,
			    [&](struct rec &rec) {
				    // 0: did not run, the row is removed.
				    rec.body.req_outcome = {id, 100 + id,
					id == 1 ? 200u : 0u, 0, ""};
			    });
		plan(plan_epoch, 0, START_MS + 3 * HOUR_MS + HOUR_MS / 2);
		uint64_t empty_plan = position;
		add(REC_SHORT, START_MS + 3 * HOUR_MS + HOUR_MS / 2,
		    [&](struct rec &rec) {
			    rec.body.short_since = {promise, empty_plan,
				START_MS + 3 * HOUR_MS + HOUR_MS / 2};
		    });
		// After the period.
		submit("alpha", "later", 4, HOUR_MS, START_MS + 5 * HOUR_MS);
		return rp_builder_finish(builder);
	}
	struct rp_builder *builder = nullptr;
	uint64_t promise = 0;
	uint64_t position = 0;
	uint64_t count = 0;
	FakeLog log;
};

// Compares text with a file in tests/golden/report and frees it. If
// GOLDEN_WRITE is set, writes the file first.
void
expect_golden(const char *name, char *text, size_t bytes)
{
	std::string path =
	    std::string(TEST_SOURCE_DIR "/tests/golden/report/") + name;
	std::string got(text == nullptr ? "" : std::string(text, bytes));

	free(text);
	if (getenv("GOLDEN_WRITE") != nullptr)
		std::ofstream(path) << got;
	std::ifstream file(path);
	std::stringstream expected;
	expected << file.rdbuf();
	EXPECT_FALSE(got.empty());
	EXPECT_EQ(got, expected.str());
}

// Guards against changed values or output formats: the regulator compares
// reports made at different times.
TEST(Report, FormatsMatchGoldenFiles)
{
	ReportFixture fixture(START_MS, START_MS + 4 * HOUR_MS);
	const struct rp_report *report = fixture.build_report();
	size_t bytes = 0;

	char *text = rp_format_text(report, &bytes);
	expect_golden("day.txt", text, bytes);
	text = rp_format_csv(report, &bytes);
	expect_golden("day.csv", text, bytes);
	text = rp_format_plot(report, &bytes);
	expect_golden("day.plot", text, bytes);
}

std::string
read_text(ReportFixture &fixture, int64_t from_ms, int *code)
{
	struct pf_log log = fixture.log.log();
	struct rp_builder *builder = nullptr;
	std::string got;
	size_t bytes;

	*code = rp_log_read(&log, from_ms, START_MS + 4 * HOUR_MS, &builder);
	if (*code != CW_OK)
		return got;
	char *text = rp_format_text(rp_builder_finish(builder), &bytes);
	got.assign(text, bytes);
	free(text);
	rp_builder_destroy(builder);
	return got;
}

// Guards against a report that differs if it is read from the log, or from a
// snapshot and the log if the first records have expired, and against a gap in
// the records that the report does not mention.
TEST(Report, SameFromRecordsLogAndSnapshot)
{
	ReportFixture fixture(START_MS, START_MS + 4 * HOUR_MS);
	struct pf_log log = fixture.log.log();
	void *image = nullptr;
	size_t bytes = 0;
	int code;

	const struct rp_report *report = fixture.build_report();
	char *text = rp_format_text(report, &bytes);
	std::string expected_text(text, bytes);
	free(text);
	EXPECT_EQ(read_text(fixture, START_MS, &code), expected_text);

	// The snapshot image that a VM writes after the 7th record.
	struct bd_board *board;
	struct st_state *state;
	ASSERT_EQ(bd_board_create(&board), CW_OK);
	ASSERT_EQ(st_create(&state, board), CW_OK);
	const auto &entries = fixture.log.streams[ST_RECORD_STREAM].entries;
	for (uint64_t i = 0; i < 7; i++)
		st_apply_entry(
		    state, i, entries[i].data(), entries[i].size(), nullptr);
	ASSERT_EQ(st_image_encode(state, &image, &bytes), CW_OK);
	fixture.log.expire(ST_RECORD_STREAM, 5);
	EXPECT_EQ(read_text(fixture, START_MS, &code), "");
	EXPECT_EQ(code, RP_EUNAVAILABLE);
	ASSERT_EQ(st_snapshot_write(&log, 1, image, bytes), CW_OK);
	free(image);
	// Only the number of records differs.
	std::string part = read_text(fixture, START_MS, &code);
	EXPECT_EQ(code, CW_OK);
	EXPECT_EQ(part.substr(part.find("\nAccel")),
	    expected_text.substr(expected_text.find("\nAccel")));
	EXPECT_EQ(part.find("INCOMPLETE"), std::string::npos);
	part = read_text(fixture, START_MS - HOUR_MS, &code);
	EXPECT_NE(part.find("INCOMPLETE: records before 2027-01-15T07:30"),
	    std::string::npos)
	    << part;
	// Records between the image and the first retained one are missing.
	fixture.log.expire(ST_RECORD_STREAM, 9);
	read_text(fixture, START_MS, &code);
	EXPECT_EQ(code, RP_EUNAVAILABLE);
	fixture.log.outage = true;
	read_text(fixture, START_MS, &code);
	EXPECT_EQ(code, RP_EUNAVAILABLE);
	st_destroy(state);
	bd_board_destroy(board);
}

// Guards against values that depend on how a time span is split into periods.
TEST(Report, SumOverPeriodsEqualsTotal)
{
	const int64_t bounds[] = {START_MS - 2 * HOUR_MS, START_MS + 1234567,
	    START_MS + HOUR_MS + 3600, START_MS + 3 * HOUR_MS,
	    START_MS + 4 * HOUR_MS};
	ReportFixture total(bounds[0], bounds[4]);
	const struct rp_report *all = total.build_report();
	struct rp_account sum = {};

	for (int i = 0; i < 4; i++) {
		ReportFixture part(bounds[i], bounds[i + 1]);
		const struct rp_report *report = part.build_report();
		for (size_t a = 0; a < report->account_count; a++) {
			const struct rp_account &account = report->accounts[a];
			sum.promised_ms += account.promised_ms;
			sum.short_ms += account.short_ms;
			sum.asked_ms += account.asked_ms;
			sum.guaranteed_ms += account.guaranteed_ms;
			sum.borrowed_ms += account.borrowed_ms;
			sum.lost_ms += account.lost_ms;
			sum.waited_ms += account.waited_ms;
			sum.submitted += account.submitted;
			sum.failed += account.failed;
		}
	}
	for (size_t a = 0; a < all->account_count; a++) {
		const struct rp_account &account = all->accounts[a];
		sum.promised_ms -= account.promised_ms;
		sum.short_ms -= account.short_ms;
		sum.asked_ms -= account.asked_ms;
		sum.guaranteed_ms -= account.guaranteed_ms;
		sum.borrowed_ms -= account.borrowed_ms;
		sum.lost_ms -= account.lost_ms;
		sum.waited_ms -= account.waited_ms;
		sum.submitted -= account.submitted;
		sum.failed -= account.failed;
	}
	struct rp_account zero = {};
	EXPECT_EQ(memcmp(&sum, &zero, sizeof(sum)), 0);
	struct rp_builder *empty_builder = nullptr;
	EXPECT_EQ(
	    rp_builder_create(&empty_builder, START_MS, START_MS), RP_EINVALID);
}

} // namespace
