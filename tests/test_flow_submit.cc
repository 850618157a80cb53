#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include <unistd.h>

#include "flow_fixture.h"

namespace {

/* Tests control what a VM reads, and when: no copy becomes too old. */
constexpr uint32_t COPY_AGE_MAX_MS = 1000000000;

struct Vm;

/* The store: one log, which each VM reads when the test says so. */
struct Log {
	struct Entry {
		std::string key;
		std::string value;
	};
	std::mutex lock; /* of entries, which a thread may answer with */
	std::vector<Entry> entries;
	enum fw_result result = FW_RESULT_DONE;
	bool stores = true; /* whether appends are carried out */
	uint32_t appends = 0;
};

struct Vm {
	Log *log;
	FlowFixture fixture;
	struct fw_follower *follower = nullptr;
	struct fw_front front = {};
	std::vector<struct fw_read> reads;
	std::mutex lock; /* of timers */
	std::vector<std::pair<void (*)(void *, int64_t), void *>> timers;

	Vm(Log *shared, uint32_t rows_max) : log(shared)
	{
		struct fw_follow_spec spec = {};

		front.board = fixture.board;
		front.record_bytes = fixture.settings.record_bytes;
		front.store = {append, read, nullptr, after, this};
		spec.wait_ms = 1000000;
		spec.record = on_record;
		spec.ctx = this;
		fw_follower_start(
		    &follower, fixture.board, &front.store, &spec);
		front.jobs = follower;
		fw_admission_create(&front.admission, fixture.board, follower,
		    rows_max, COPY_AGE_MAX_MS, fixture.settings.retention_ms);
		read_log();
		read_log();
	}

	~Vm()
	{
		fw_admission_free(front.admission);
		fw_follower_free(follower);
	}

	static int
	append(void *ctx, const struct fw_append *call)
	{
		Log *log = ((Vm *)ctx)->log;
		std::unique_lock<std::mutex> guard(log->lock);

		log->appends++;
		for (size_t i = 0; log->stores && i < call->count; i++)
			log->entries.push_back({call->records[i].key,
			    std::string((const char *)call->records[i].value,
				call->records[i].value_bytes)});
		uint64_t end = log->entries.size();
		guard.unlock();
		call->done(call->ctx, log->result, end);
		return CW_OK;
	}

	static int
	read(void *ctx, const struct fw_read *call)
	{
		((Vm *)ctx)->reads.push_back(*call);
		return CW_OK;
	}

	static int
	after(void *ctx, uint32_t, void (*run)(void *, int64_t), void *run_ctx)
	{
		std::lock_guard<std::mutex> guard(((Vm *)ctx)->lock);

		((Vm *)ctx)->timers.push_back({run, run_ctx});
		return CW_OK;
	}

	static int
	on_record(void *ctx, const struct fw_record *record, int64_t)
	{
		return fw_record_apply(((Vm *)ctx)->fixture.board, record);
	}

	void
	run_timers()
	{
		decltype(timers) due;

		{
			std::lock_guard<std::mutex> guard(lock);

			due.swap(timers);
		}
		for (auto &timer : due)
			timer.first(timer.second, cw_clock_mono_ms());
	}

	/* Reads up to the end of the log, at a later time than all that was
	 * submitted before. */
	void
	read_log()
	{
		int64_t before_ms = cw_clock_mono_ms();
		int64_t now_ms;

		run_timers();
		ASSERT_FALSE(reads.empty());
		struct fw_read call = reads.back();

		while ((now_ms = cw_clock_mono_ms()) <= before_ms)
			usleep(100);

		std::unique_lock<std::mutex> guard(log->lock);
		for (uint64_t i = call.newest ? 0 : call.from;
		     i < log->entries.size(); i++) {
			struct fw_record record = {};

			strcpy(record.key, log->entries[i].key.c_str());
			if (!log->entries[i].value.empty())
				record.value = log->entries[i].value.data();
			record.value_bytes = log->entries[i].value.size();
			record.offset = i;
			call.record(call.ctx, &record);
		}
		uint64_t end = log->entries.size();
		guard.unlock();
		call.done(call.ctx, FW_RESULT_DONE, false, end, now_ms, now_ms);
		run_timers();
	}

	/* Cancels a job, or looks it up. */
	int
	cancel(uint32_t number, int64_t patience_ms)
	{
		return fw_cancel(&front, fixture.queue.id,
		    name_of(number).c_str(), 1000,
		    cw_clock_mono_ms() + patience_ms);
	}

	int
	look_up(uint32_t number, int64_t patience_ms)
	{
		uint32_t state;

		return fw_job_state(&front, fixture.queue.id,
		    name_of(number).c_str(), cw_clock_mono_ms() + patience_ms,
		    &state);
	}

	static std::string
	name_of(uint32_t number)
	{
		char name[24];

		snprintf(name, sizeof(name), "%016x", number);
		return name;
	}

	int
	submit(uint32_t number, int64_t patience_ms = 60000, uint32_t tasks = 1)
	{
		std::string name = name_of(number);
		struct bd_flow_step step = FlowFixture::make_step(tasks, 0);
		struct fw_job_spec spec = {};

		spec.name = name.c_str();
		spec.queue = &fixture.queue;
		spec.accepted_ms = 1000;
		spec.occurrences = 1;
		spec.steps = &step;
		spec.step_count = 1;
		spec.text = "";
		return fw_submit(
		    &front, &spec, cw_clock_mono_ms() + patience_ms);
	}

	bool
	has(uint32_t number)
	{
		bd_read_begin();
		bool found =
		    fixture.find_flow(name_of(number).c_str()) != nullptr;
		bd_read_end();
		return found;
	}

	uint32_t
	rows()
	{
		return bd_row_count(fixture.board, BD_TABLE_flow);
	}
};

/* Calls of the platform's thread, for as long as it exists. */
struct Thread {
	std::atomic<bool> ends{false};
	std::thread thread;

	explicit Thread(const std::function<void()> &step)
	    : thread([this, step] {
		      while (!ends) {
			      step();
			      usleep(1000);
		      }
	      })
	{
	}

	~Thread()
	{
		ends = true;
		thread.join();
	}
};

/* Appends the records that end a job and delete it. */
void
delete_job(Log *log, uint32_t number)
{
	log->entries.push_back({"j/" + Vm::name_of(number), ""});
}

} // namespace

/* 19,968 jobs were answered 200, and from the 16,385th on no VM knew them. */
TEST(FlowSubmit, AcceptedJobsBeyondTheTableAreNotLost)
{
	const uint32_t submitted = FW_ROWS_MAX + 600;
	Log log;
	Vm vm(&log, FW_ROWS_MAX);
	std::vector<uint32_t> accepted;

	for (uint32_t i = 1; i <= submitted; i++) {
		int code = vm.submit(i);

		if (code == CW_OK)
			accepted.push_back(i);
		else
			ASSERT_EQ(FW_EFULL, code) << i;
		if (i % 100 == 0)
			vm.read_log();
	}
	vm.read_log();
	EXPECT_EQ((size_t)FW_ROWS_MAX, accepted.size());
	for (uint32_t number : accepted)
		ASSERT_TRUE(vm.has(number)) << number;
}

/* A refusal must be true: a job that is refused never runs, so nothing may be
 * sent for it. */
TEST(FlowSubmit, NothingIsSentForAJobThatIsRefused)
{
	Log log;
	Vm vm(&log, 4);

	for (uint32_t i = 1; i <= 4; i++)
		ASSERT_EQ(CW_OK, vm.submit(i));
	EXPECT_EQ(FW_EFULL, vm.submit(5));
	EXPECT_NE(nullptr, strstr(cw_error_last(), "nothing was run"));
	vm.read_log();
	EXPECT_EQ(FW_EFULL, vm.submit(5));
	EXPECT_EQ(4U, log.appends);
	EXPECT_FALSE(vm.has(5));
}

/* Callers repeat a submission whose answer they have lost, also while there is
 * no room. It is the same job, and its answer is the same. */
TEST(FlowSubmit, RepeatedSubmissionNeedsNoRoom)
{
	Log log;
	Vm vm(&log, 2);

	ASSERT_EQ(CW_OK, vm.submit(1));
	ASSERT_EQ(CW_OK, vm.submit(2));
	EXPECT_EQ(CW_OK, vm.submit(2));
	vm.read_log();
	EXPECT_EQ(CW_OK, vm.submit(1));
	EXPECT_EQ(CW_OK, vm.submit(2));
	EXPECT_EQ(FW_EFULL, vm.submit(3));
	EXPECT_EQ(2U, vm.rows());
}

/* Once rows are free, jobs are accepted again, and all of them are there. */
TEST(FlowSubmit, JobsAreAcceptedOnceRowsAreFree)
{
	Log log;
	Vm vm(&log, 4);

	for (uint32_t i = 1; i <= 4; i++)
		ASSERT_EQ(CW_OK, vm.submit(i));
	ASSERT_EQ(FW_EFULL, vm.submit(5));
	delete_job(&log, 1);
	EXPECT_EQ(FW_EFULL, vm.submit(5));
	vm.read_log();
	EXPECT_EQ(CW_OK, vm.submit(5));
	EXPECT_EQ(FW_EFULL, vm.submit(6));
	vm.read_log();
	for (uint32_t i = 2; i <= 5; i++)
		EXPECT_TRUE(vm.has(i));
}

/* VMs accept at the same time and see each other's jobs only when they read
 * them. Each must be able to apply what all of them have accepted: a row that
 * does not fit is an accepted job that is lost. */
TEST(FlowSubmit, JobsAcceptedByAllVmsAtOnceFitIntoEachTable)
{
	const uint32_t vms = 6;
	const uint32_t rows_max = 1000;
	Log log;
	std::vector<std::unique_ptr<Vm>> all;
	std::vector<uint32_t> accepted;
	uint32_t number = 0;

	for (uint32_t i = 0; i < vms; i++)
		all.push_back(std::make_unique<Vm>(&log, rows_max));
	/* Up to one row below the limit, read by all; then nobody reads. */
	while (accepted.size() < rows_max - 1) {
		ASSERT_EQ(CW_OK, all[0]->submit(++number));
		accepted.push_back(number);
		if (number % 100 == 0)
			all[0]->read_log();
	}
	for (auto &vm : all)
		vm->read_log();
	for (uint32_t i = 0; i < vms * FW_PENDING_MAX * 2; i++)
		if (all[i % vms]->submit(++number) == CW_OK)
			accepted.push_back(number);
	EXPECT_EQ(rows_max - 1 + vms, accepted.size());
	for (auto &vm : all) {
		vm->read_log();
		for (uint32_t job : accepted)
			ASSERT_TRUE(vm->has(job)) << job;
		EXPECT_EQ(FW_EFULL, vm->submit(++number));
	}
}

/* A VM that does not read back what it accepts stops accepting: that bounds
 * what all VMs add to a table that is full. The table has room for this many
 * VMs. */
TEST(FlowSubmit, JobsThatWereNotReadBackAreBounded)
{
	const uint32_t vms_max = 256;
	Log log;
	Vm vm(&log, FW_ROWS_MAX);

	for (uint32_t i = 1; i <= FW_PENDING_MAX; i++)
		ASSERT_EQ(CW_OK, vm.submit(i));
	EXPECT_EQ(FW_EFULL, vm.submit(FW_PENDING_MAX + 1));
	vm.read_log();
	EXPECT_EQ(CW_OK, vm.submit(FW_PENDING_MAX + 1));
	EXPECT_GE(bd_table_capacity(BD_TABLE_flow),
	    (uint32_t)(FW_ROWS_MAX + vms_max * FW_PENDING_MAX));
}

/* The rows of a store that refuses are given back at once. */
TEST(FlowSubmit, RefusedAppendsKeepNoRow)
{
	Log log;
	Vm vm(&log, 2);

	log.stores = false;
	log.result = FW_RESULT_NOT_DONE;
	for (uint32_t i = 1; i <= 3; i++)
		EXPECT_EQ(FW_ESTORE, vm.submit(i, 1));
	log.stores = true;
	log.result = FW_RESULT_DONE;
	EXPECT_EQ(CW_OK, vm.submit(4));
	EXPECT_EQ(CW_OK, vm.submit(5));
	EXPECT_EQ(FW_EFULL, vm.submit(6));
}

/* An append without an answer may be carried out seconds later. Its row stays
 * reserved until it is read back or cannot come any more; the caller may repeat
 * it meanwhile. */
TEST(FlowSubmit, AppendsInDoubtKeepTheirRow)
{
	Log log;
	Vm vm(&log, 2);
	int64_t now_ms = cw_clock_mono_ms();

	ASSERT_EQ(CW_OK, fw_admission_reserve(vm.front.admission, 1, now_ms));
	fw_admission_settle(vm.front.admission, 1, FW_EUNKNOWN, now_ms);
	vm.read_log();
	EXPECT_EQ(CW_OK, fw_admission_reserve(vm.front.admission, 2, now_ms));
	EXPECT_EQ(
	    FW_EFULL, fw_admission_reserve(vm.front.admission, 3, now_ms));
	EXPECT_EQ(CW_OK, fw_admission_reserve(vm.front.admission, 1, now_ms));
	fw_admission_settle(vm.front.admission, 1, FW_ESTORE, now_ms);
	EXPECT_EQ(
	    FW_EFULL, fw_admission_reserve(vm.front.admission, 3, now_ms));
	fw_admission_settle(vm.front.admission, 2, FW_ESTORE, now_ms);
	EXPECT_EQ(CW_OK, fw_admission_reserve(vm.front.admission, 3, now_ms));
}

/* The doubt ends once this VM has read what was stored up to ten seconds after
 * the append. */
TEST(FlowSubmit, DoubtEndsOnceTheLogWasReadLater)
{
	Log log;
	Vm vm(&log, 1);
	int64_t sent_ms = cw_clock_mono_ms() - 10001;

	ASSERT_EQ(CW_OK, fw_admission_reserve(vm.front.admission, 1, sent_ms));
	fw_admission_settle(vm.front.admission, 1, FW_EUNKNOWN, sent_ms);
	vm.read_log();
	EXPECT_EQ(CW_OK, fw_admission_reserve(vm.front.admission, 2, sent_ms));
	EXPECT_EQ(
	    FW_EFULL, fw_admission_reserve(vm.front.admission, 3, sent_ms));
}

/* With half of the rows in use, a VM with an old copy cannot tell how many are
 * left. */
TEST(FlowSubmit, NoJobIsAcceptedByAnOldCopyThatIsHalfFull)
{
	Log log;
	Vm vm(&log, 4);
	int64_t later_ms = cw_clock_mono_ms() + (int64_t)2 * COPY_AGE_MAX_MS;

	ASSERT_EQ(CW_OK, fw_admission_reserve(vm.front.admission, 9, later_ms));
	fw_admission_settle(vm.front.admission, 9, FW_ESTORE, later_ms);
	ASSERT_EQ(CW_OK, vm.submit(1));
	ASSERT_EQ(CW_OK, vm.submit(2));
	vm.read_log();
	EXPECT_EQ(
	    FW_ESTORE, fw_admission_reserve(vm.front.admission, 9, later_ms));
	EXPECT_EQ(CW_OK, vm.submit(3));
}

/* Told to come back before a row is free, callers use up their tries. */
TEST(FlowSubmit, RetryAfterFitsTheRateAtWhichRowsBecomeFree)
{
	Log log;
	Vm vm(&log, 4);
	const int64_t retention_ms =
	    vm.fixture.settings.retention_ms + FW_RETENTION_MARGIN_MS;
	const int64_t boot_ms = 10000000;
	const int64_t ended_ms[] = {5500, 5500, 20500};

	for (uint32_t i = 1; i <= 4; i++)
		vm.fixture.submit(
		    Vm::name_of(i).c_str(), {FlowFixture::make_step(1, 0)});
	for (uint32_t i = 0; i < 3; i++) {
		struct bd_flow *row;

		bd_read_begin();
		row = fw_flow_compact(
		    vm.fixture.find_flow(Vm::name_of(i + 1).c_str()));
		bd_read_end();
		row->public_state = row->state = BD_FLOW_COMPLETED;
		row->ended_ms = boot_ms - retention_ms + ended_ms[i];
		bd_put(vm.fixture.board, BD_TABLE_flow, BD_WRITER_FLOW, row->id,
		    row, fw_flow_bytes(row), nullptr);
		free(row);
	}
	EXPECT_EQ(6U, fw_admission_retry_after_s(vm.front.admission, boot_ms));
	EXPECT_EQ(6U, fw_admission_retry_after_s(vm.front.admission, boot_ms));
	EXPECT_EQ(21U, fw_admission_retry_after_s(vm.front.admission, boot_ms));
	EXPECT_EQ(60U, fw_admission_retry_after_s(vm.front.admission, boot_ms));
	/* Two seconds later the callers of the last count have been told. */
	fw_admission_retry_after_s(vm.front.admission, boot_ms + 1000);
	EXPECT_EQ(
	    4U, fw_admission_retry_after_s(vm.front.admission, boot_ms + 2000));
	/* Rows that are due already. */
	EXPECT_EQ(1U,
	    fw_admission_retry_after_s(vm.front.admission, boot_ms + 40000));
}

/* A daemon that had read the store up to 2.6 s before answered 410 to the
 * cancel of a job that another one had just accepted, and the job ran on. */
TEST(FlowSubmit, CancelsOfJobsThatWereNotReadYetAreNotRefusedAsMissing)
{
	Log log;
	Vm accepts(&log, 4);
	Vm vm(&log, 4);

	ASSERT_EQ(CW_OK, accepts.submit(1));
	EXPECT_EQ(FW_ESTALE, vm.cancel(1, 400));
	EXPECT_EQ(FW_ESTALE, vm.look_up(1, 400));
	EXPECT_EQ(1U, log.appends);
}

/* The waiting read may be answered after the call, and tell nothing of what was
 * stored since it was sent. */
TEST(FlowSubmit, ReadsSentBeforeACallDoNotProveThatAJobIsMissing)
{
	Log log;
	Vm accepts(&log, 4);
	Vm vm(&log, 4);
	const struct fw_read waiting = vm.reads.back();
	int64_t sent_ms = cw_clock_mono_ms();

	ASSERT_EQ(CW_OK, accepts.submit(1));
	Thread platform([&] {
		waiting.done(waiting.ctx, FW_RESULT_DONE, false, 0, sent_ms,
		    cw_clock_mono_ms());
	});
	EXPECT_EQ(FW_ESTALE, vm.cancel(1, 400));
	EXPECT_EQ(FW_ESTALE, vm.look_up(1, 400));
}

/* With a store that answers, a call finds the job, or learns that there is none
 * without waiting for its time to pass. */
TEST(FlowSubmit, CallsForJobsThatWereNotReadYetReadTheLog)
{
	Log log;
	Vm accepts(&log, 4);
	Vm vm(&log, 4);
	int64_t start_ms = cw_clock_mono_ms();

	ASSERT_EQ(CW_OK, accepts.submit(1));
	ASSERT_EQ(CW_OK, accepts.submit(2));
	Thread platform([&] {
		vm.read_log();
	});
	EXPECT_EQ(CW_OK, vm.cancel(1, 60000));
	EXPECT_EQ(3U, log.appends);
	EXPECT_EQ(CW_OK, vm.look_up(2, 60000));
	EXPECT_EQ(FW_ENOJOB, vm.cancel(3, 60000));
	EXPECT_EQ(FW_ENOJOB, vm.look_up(3, 60000));
	EXPECT_LT(cw_clock_mono_ms() - start_ms, 10000);
}

/* A VM that was frozen with a submission stored the job after its caller had
 * been told that there is none, and it ran. */
TEST(FlowSubmit, JobsThatArriveAfterTheirCancellationDoNotRun)
{
	Log log;
	Vm frozen(&log, 4);
	Vm vm(&log, 4);

	{
		Thread platform([&] {
			vm.read_log();
		});
		EXPECT_EQ(FW_ENOJOB, vm.cancel(1, 60000));
		EXPECT_EQ(FW_ENOJOB, vm.look_up(1, 60000));
	}
	ASSERT_EQ(CW_OK, frozen.submit(1));
	vm.read_log();
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_CANCELLED,
	    fw_flow_public_state(vm.fixture.find_flow(Vm::name_of(1).c_str())));
	bd_read_end();
}

/* A cancel is not acknowledged while the store may not have it. */
TEST(FlowSubmit, CancelsOfUnknownJobsAreStoredFirst)
{
	Log log;
	Vm vm(&log, 4);
	Thread platform([&] {
		vm.read_log();
	});

	log.stores = false;
	log.result = FW_RESULT_NOT_DONE;
	EXPECT_EQ(FW_ESTORE, vm.cancel(1, 60000));
	log.result = FW_RESULT_UNKNOWN;
	EXPECT_EQ(FW_EUNKNOWN, vm.cancel(1, 60000));
}

/* Cancels of jobs that never come must not fill the table: its VMs could read
 * the topic no further. A repeated one is answered all the same. */
TEST(FlowSubmit, CancelsOfUnknownJobsAreBounded)
{
	Log log;

	for (uint32_t i = 1; i <= 8192; i++)
		log.entries.push_back(
		    {"t/" + Vm::name_of(i), "1000 0000000000000007"});
	Vm vm(&log, 4);
	Thread platform([&] {
		vm.read_log();
	});

	EXPECT_EQ(FW_EFULL, vm.cancel(9000, 60000));
	EXPECT_EQ(FW_ENOJOB, vm.cancel(1, 60000));
	EXPECT_EQ(0U, log.appends);
}

/* A record beyond RecordBytes is refused forever: a job that has one must be
 * refused to its caller, also for the progress that it will have. */
TEST(FlowSubmit, JobsThatTheStoreCannotHoldAreRefused)
{
	Log log;
	Vm vm(&log, 8);

	EXPECT_EQ(CW_OK, vm.submit(1, 60000, FW_TASKS_MAX));
	vm.front.record_bytes = 9000;
	EXPECT_EQ(CW_OK, vm.submit(2, 60000, 100));
	EXPECT_EQ(FW_EBADJOB, vm.submit(3, 60000, 110));
	EXPECT_NE(nullptr, strstr(cw_error_last(), "the job is too large"));
	vm.front.record_bytes = 100;
	EXPECT_EQ(FW_EBADJOB, vm.submit(4));
	EXPECT_EQ(2U, log.appends);
	/* A job that is there already is not refused when it is repeated. */
	vm.read_log();
	EXPECT_EQ(CW_OK, vm.submit(1, 60000, FW_TASKS_MAX));
}
