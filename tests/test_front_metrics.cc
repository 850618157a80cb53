#include "fake_log.h"
#include "front_fixture.h"
#include "route.h"

#include <map>
#include <sstream>

namespace {

struct FrontMetrics : public FrontFixture {
	// Four workers in two racks. alpha's job 5 runs in its own planned
	// slot; beta's job 6 borrows two accelerators of that slot, and its
	// job 7 runs on an accelerator outside all planned slots.
	void
	put_placement()
	{
		put_accounts();
		for (const char *name : {"w1", "w2"})
			put_worker(name, "r1", 4);
		for (const char *name : {"w3", "w4"})
			put_worker(name, "r2", 4);
		struct bd_promise promise = {};
		promise.id = 1;
		promise.account = cw_id_from_name("alpha");
		promise.shape = {1, 4, 1000, 1024};
		promise.slot_count = 1;
		promise.slots[0] = {cw_id_from_name("w1"), 15, 0};
		put(BD_TABLE_promise, BD_WRITER_STATE, promise);
		promise.id = 2;
		promise.slot_count = 0;
		promise.short_since_ms = 900;
		put(BD_TABLE_promise, BD_WRITER_STATE, promise);
		struct bd_job row = put_job(5, "alpha", BD_JOB_RUNNING);
		row.token = 50;
		row.promise = 1;
		row.waiting_since_ms = 1000;
		row.started_ms = 3000;
		put(BD_TABLE_job, BD_WRITER_STATE, row);
		put_task(5, "w1", 3);
		row = put_job(6, "beta", BD_JOB_RUNNING);
		row.token = 60;
		put(BD_TABLE_job, BD_WRITER_STATE, row);
		put_task(6, "w1", 12);
		row = put_job(7, "beta", BD_JOB_RUNNING);
		row.token = 70;
		put(BD_TABLE_job, BD_WRITER_STATE, row);
		put_task(7, "w2", 1);
		put_job(8, "beta", BD_JOB_WAITING);
		row = put_job(9, "alpha", BD_JOB_DONE);
		row.submitted_ms = 1000;
		row.ended_ms = 61000;
		put(BD_TABLE_job, BD_WRITER_STATE, row);
	}
};

// Guards against accelerators that are counted for the wrong account or twice.
TEST_F(FrontMetrics, CountsAcceleratorsByAccount)
{
	put_placement();
	EXPECT_EQ(serve("GET", "/v1/accounts", "ops"), 200);
	EXPECT_TRUE(response_contains(
	    "\"name\":\"alpha\",\"role\":\"caller\",\"quota\":64,"
	    "\"weight\":0.0,\"promised\":8,\"used_guaranteed\":2,"
	    "\"borrowed\":0,\"reclaimable\":0,\"running_jobs\":1,"
	    "\"waiting_jobs\":0,\"waiting_accelerators\":0,"
	    "\"short_since_ms\":900"))
	    << response_body;
	EXPECT_TRUE(
	    response_contains("\"used_guaranteed\":0,\"borrowed\":3,"
			      "\"reclaimable\":2,\"running_jobs\":2,"
			      "\"waiting_jobs\":1,\"waiting_accelerators\":2"))
	    << response_body;
	serve("GET", "/v1/accounts", "beta");
	EXPECT_FALSE(response_contains("alpha"));

	struct fr_placement placement;
	struct fr_objectives objectives;
	ASSERT_EQ(fr_placement_build(board, &placement), CW_OK);
	ASSERT_EQ(fr_objectives_compute(board, &placement, &objectives), CW_OK);
	EXPECT_EQ(objectives.free_accels, 11u);
	EXPECT_EQ(objectives.largest_free_in_rack, 8u);
	EXPECT_DOUBLE_EQ(objectives.fragmentation, 1.0 - 8.0 / 11.0);
	EXPECT_EQ(objectives.completion_mean_ms, 60000);
	// A worker out of service has no free accelerators.
	for (size_t i = 0; i < placement.count; i++)
		if (std::string(placement.workers[i].row.rack_name) == "r2")
			placement.workers[i].row.state = BD_WORKER_LEAVING;
	uint32_t free_accels, largest;
	EXPECT_DOUBLE_EQ(
	    fr_fragmentation(&placement, &free_accels, &largest), 1.0);
	EXPECT_EQ(free_accels, 3u);
	EXPECT_EQ(largest, 0u);
	fr_placement_free(&placement);
	fr_placement_free(&placement);
}

void
collect(void *ctx, struct fr_metric_out *out)
{
	struct fr_metric metric = {};

	metric.name = "control_bytes_total";
	metric.help = "Bytes.";
	metric.label_count = 1;
	metric.labels[0] = {"kind", static_cast<const char *>(ctx)};
	metric.value = 42;
	out->emit(out->ctx, &metric);
}

// Guards against output that a Prometheus scraper cannot parse, such as label
// values without escaping or samples of one name below two headings.
TEST_F(FrontMetrics, WritesPrometheusTextAndJson)
{
	char kind[] = "a\"b\\c\nd";

	options.sources[0] = {collect, kind};
	options.source_count = 1;
	options.hooks.log_state = [](void *, struct fr_log_state *out) {
		*out = {1234567890123, 1500, true};
	};
	create_front();
	put_placement();
	serve("GET", "/v1/jobs/5", "alpha");
	EXPECT_EQ(serve("GET", "/metrics", nullptr), 200);
	for (const char *part :
	    {"camphor_config_version 3\n", "camphor_ready 1\n",
		"camphor_log_position 1234567890123\n",
		"camphor_log_lag_seconds 1.5\n",
		"camphor_control_bytes_total{kind=\"a\\\"b\\\\c\\nd\"} 42\n",
		"# TYPE camphor_job_wait_seconds summary\n",
		"camphor_job_wait_seconds{account=\"alpha\",class=\"urgent\","
		"quantile=\"0.5\"} 2\n",
		"camphor_job_completion_seconds_count{account=\"alpha\","
		"class=\"urgent\"} 1\n",
		"camphor_table_rows{table=\"worker\"} 4\n",
		"camphor_front_answers_total{kind=\"jobs\",status=\"2xx\"} 1\n",
		"camphor_account_borrowed_accelerators{account=\"beta\"} 3\n"})
		EXPECT_TRUE(response_contains(part)) << part << response_body;
	// The samples of one name are adjacent, below a single heading.
	std::string name = "# TYPE camphor_front_handle_seconds ";
	EXPECT_EQ(response_body.find(name), response_body.rfind(name));
	EXPECT_EQ(serve("GET", "/metrics.json", nullptr), 200);
	EXPECT_TRUE(response_contains("\"log_lag_seconds\":{\"help\":"))
	    << response_body;
	EXPECT_TRUE(response_contains("{\"labels\":{},\"value\":1.5}"))
	    << response_body;
}

// Guards against samples of one name that are not adjacent, and against labels
// without the names of accounts.
TEST_F(FrontMetrics, GroupsSamplesOfSourcesByName)
{
	struct rt_settings settings;
	struct rt_router *route = nullptr;
	struct st_writer *writer = nullptr;
	struct st_writer_options writer_options = {77, 1000};
	FakeLog fake;
	struct pf_log log = fake.log();

	rt_settings_default(&settings);
	settings.self = 77;
	ASSERT_EQ(rt_create(&route, board, &settings), CW_OK);
	ASSERT_EQ(
	    st_writer_create(&writer, &log, &options.wall, &writer_options),
	    CW_OK);
	options.sources[0] = fr_metric_source_route(route);
	options.sources[1] = fr_metric_source_writer(writer);
	options.source_count = 2;
	create_front();
	put_accounts();
	rt_index_step(route, 0);
	for (const char *name : {"alpha", "beta"})
		for (enum rt_hist_kind kind : {RT_HIST_QUEUE, RT_HIST_TOTAL})
			rt_hist_record(route, cw_id_from_name(name),
			    BD_CLASS_NORMAL, kind, 2000000);
	EXPECT_EQ(serve("GET", "/metrics", nullptr), 200);
	for (const char *part :
	    {"camphor_request_total_seconds{account="
	     "\"beta\",class=\"normal\",quantile=\"0.5\"} 2\n",
		"camphor_log_pending 0\n",
		"camphor_route_total{kind=\"requests\"} 0\n"})
		EXPECT_TRUE(response_contains(part)) << part << response_body;
	std::map<std::string, int> headings;
	std::istringstream lines(response_body);
	for (std::string line; std::getline(lines, line);)
		if (line.rfind("# TYPE ", 0) == 0) {
			EXPECT_EQ(++headings[line], 1) << line;
		}
	st_writer_destroy(writer);
	rt_destroy(route);
}

// Guards against names that a browser takes for markup, and against references
// to external resources.
TEST_F(FrontMetrics, StatusPageEscapesNames)
{
	put_placement();
	put_worker("<w&5>", "r2", 4);
	EXPECT_EQ(serve("GET", "/status", nullptr), 200);
	EXPECT_TRUE(response_contains("&lt;w&amp;5&gt;"));
	EXPECT_FALSE(response_contains("<w&5>") || response_contains("src=") ||
	    response_contains("http:"));
	EXPECT_TRUE(response_contains("Fragmentation: "));
}

struct LoggedEvent {
	uint32_t number;
	std::string text;
};

void
record_event(void *ctx, enum ev_number number, enum ev_level, const char *line)
{
	static_cast<std::vector<LoggedEvent> *>(ctx)->push_back(
	    {(uint32_t)number, line});
}

// Guards against a log flooded by one event, and against suppressed events or
// overwritten events of the ring whose count is not reported.
TEST_F(FrontMetrics, LimitsAndCountsRepeatedEvents)
{
	std::vector<LoggedEvent> lines;
	struct ev_sink forward = {record_event, &lines};

	ASSERT_EQ(
	    fr_events_create(&options.events, &forward, &options.wall), CW_OK);
	create_front();
	put_accounts();
	const struct ev_sink *sink = fr_events_sink(options.events);
	for (int i = 0; i < 25; i++)
		sink->write(
		    sink->ctx, EV_DAEMON_START, EV_LEVEL_INFO, "one\xff");
	EXPECT_EQ(lines.size(), 10u);
	sink->write(sink->ctx, EV_DAEMON_STOP, EV_LEVEL_INFO, "two");
	EXPECT_EQ(lines.back().text, "two");
	fr_events_step(options.events, 0);
	EXPECT_EQ(lines.size(), 11u);
	now_ms += FR_EVENT_WINDOW_MS;
	fr_events_step(options.events, 0);
	ASSERT_EQ(lines.size(), 12u);
	EXPECT_EQ(lines.back().number, (uint32_t)EV_FRONT_REPEATED);
	EXPECT_NE(lines.back().text.find("number=101"), std::string::npos);
	EXPECT_NE(lines.back().text.find("left_out=15"), std::string::npos);
	EXPECT_EQ(fr_events_suppressed(options.events), 15u);

	EXPECT_EQ(serve("GET", "/v1/events?after=9&limit=2", "ops"), 200);
	EXPECT_TRUE(response_contains("{\"next\":11,\"lost\":0,\"events\":["))
	    << response_body;
	EXPECT_TRUE(response_contains("\"line\":\"one?\"")) << response_body;
	for (uint32_t i = 0; i < FR_EVENT_RING_MAX; i++) {
		now_ms += FR_EVENT_WINDOW_MS;
		sink->write(sink->ctx, EV_DAEMON_READY, EV_LEVEL_INFO, "x");
	}
	serve("GET", "/v1/events?after=2&limit=1", "ops");
	EXPECT_TRUE(response_contains("\"lost\":10")) << response_body;
	fr_events_destroy(options.events);
}

} // namespace
