#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include <jansson.h>

#include "adapter.h"

namespace {

/* Valid messages with values of any size. Texts are any characters but NUL and
 * controls, in up to 70,000 bytes; a seed gives the same messages each time. */
struct Messages {
	std::mt19937 random;

	explicit Messages(unsigned seed) : random(seed)
	{
	}

	int64_t
	draw(int64_t from, int64_t to)
	{
		return std::uniform_int_distribution<int64_t>(from, to)(random);
	}

	std::string
	text(int64_t bytes_min = 0)
	{
		static const char *const parts[] = {"a", "Z", "0", "-", "_",
		    "/", " ", "\"", "\\", "#", "=", "\u00f0", "\u20ac",
		    "\U0001f40e"};
		static const int64_t lengths[] = {
		    1, 8, 24, 40, 48, 64, 128, 256, 4096, 70000};
		int64_t bytes = bytes_min + draw(0, lengths[draw(0, 9)]);
		std::string out;

		while ((int64_t)out.size() < bytes)
			out += parts[draw(0, 13)];
		return out;
	}

	/* A whole number of any size up to a limit. */
	int64_t
	number(int64_t max)
	{
		return draw(0, max >> draw(0, 62));
	}
};

std::string
dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	std::string copy = text;

	free(text);
	json_decref(root);
	return copy;
}

json_t *
string(const std::string &text)
{
	return json_stringn(text.data(), text.size());
}

/* Guards against a seed that gives other messages with another compiler or on
 * another architecture: a fault on record could not be played again. */
void
expect_known(unsigned seed, const std::string &text, uint64_t fingerprint)
{
	if (seed == 1) {
		EXPECT_EQ(fingerprint, cw_hash(text.data(), text.size(), 0))
		    << "seed 1 gives other messages";
	}
}

/* Returns the seeds of this run: SEED for one, otherwise the first ones. */
std::vector<unsigned>
seeds()
{
	const char *one = getenv("SEED");
	std::vector<unsigned> all;

	if (one != nullptr)
		return {(unsigned)atoi(one)};
	for (unsigned seed = 1; seed <= 60; seed++)
		all.push_back(seed);
	return all;
}

} // namespace

/* Guards against a valid configuration that is turned away, or whose routes or
 * keys are not all there afterwards. */
TEST(PlatformValid, ConfigurationsAreInForce)
{
	for (unsigned seed : seeds()) {
		Messages messages(seed);
		std::vector<std::pair<std::string, std::string>> routes;
		std::vector<std::pair<std::string, std::string>> keys;
		json_t *root = json_pack("{s:I,s:[],s:[]}", "Version",
		    (json_int_t)messages.draw(1, INT64_MAX), "Routes",
		    "Tenants");
		struct bd_board *board;

		for (int64_t i = messages.draw(0, 20); i > 0; i--) {
			/* A path has no blank at its end. */
			std::string prefix = "/" + std::to_string(i) + "/" +
			    messages.text() + "/";
			std::string name = messages.text(1);
			/* Seeds on record were drawn in this order. */
			int64_t target_ms = messages.number(INT64_MAX);
			int64_t stretch = messages.number(INT64_MAX);
			int64_t attempts = messages.number(INT64_MAX);
			int64_t priority = messages.number(INT64_MAX);
			std::string service = messages.text(1);

			routes.push_back({prefix, name});
			json_array_append_new(json_object_get(root, "Routes"),
			    json_pack("{s:o,s:o,s:o,s:o,s:I,s:I,s:f,s:I}",
				"Name", string(name), "Host", string("h"),
				"PathPrefix", string(prefix), "Service",
				string(service), "Priority",
				(json_int_t)priority, "MaxAttempts",
				(json_int_t)attempts, "Stretch",
				(double)stretch / 7, "TargetLatencyMs",
				(json_int_t)target_ms));
		}
		for (int64_t i = messages.draw(0, 8); i > 0; i--) {
			std::string name = std::to_string(i) + messages.text();
			json_t *list = json_array();

			for (int64_t k = messages.draw(0, 5); k > 0; k--) {
				keys.push_back({std::to_string(i) + "." +
					std::to_string(k) + messages.text(),
				    name});
				json_array_append_new(
				    list, string(keys.back().first));
			}
			json_array_append_new(json_object_get(root, "Tenants"),
			    json_pack("{s:o,s:o,s:{s:I}}", "Name", string(name),
				"ApiKeys", list, "Guaranteed", "Gpu",
				(json_int_t)messages.number(INT64_MAX)));
		}
		std::string text = dump(root);
		expect_known(seed, text, 9281064046740335479U);
		ASSERT_EQ(CW_OK, bd_board_create(&board));
		ASSERT_EQ(
		    CW_OK, pl_config_apply(board, text.data(), text.size()))
		    << "seed " << seed << " " << cw_error_last();
		bd_read_begin();
		const struct bd_setup *setup = fw_setup(board);
		for (const auto &route : routes) {
			const struct bd_queue *queue = fw_queue_find(
			    setup, "h", (route.first + "x").c_str());

			ASSERT_NE(nullptr, queue) << "seed " << seed;
			EXPECT_EQ(
			    cw_id_from_name(route.second.c_str()), queue->id)
			    << "seed " << seed;
		}
		for (const auto &key : keys) {
			const struct bd_access_key *row = fw_access_key_find(
			    setup, cw_id_from_name(key.first.c_str()));

			ASSERT_NE(nullptr, row) << "seed " << seed;
			EXPECT_EQ(
			    cw_id_from_name(key.second.c_str()), row->client)
			    << "seed " << seed;
		}
		bd_read_end();
		bd_board_destroy(board);
	}
}

/* Guards against a worker that is not used although its entry is valid, and
 * against a job that asks for its labels and does not mean them. */
TEST(PlatformValid, WorkersAndTheirLabelsAreRead)
{
	for (unsigned seed : seeds()) {
		Messages messages(seed);
		static struct pl_job job;
		std::string kind = messages.text();
		std::string rack = messages.text();
		std::string service = messages.text();
		int64_t cores = messages.number(UINT32_MAX);
		/* Seeds on record were drawn in this order. */
		int64_t born_ms = messages.number(INT64_MAX / 4);
		int64_t clock_ms = messages.number(INT64_MAX / 4);
		int64_t accels = messages.number(UINT32_MAX);
		int64_t memory_mb = messages.number(UINT32_MAX);
		std::string zone = messages.text();
		struct bd_host host;
		std::string text = dump(json_pack(
		    "{s:o,s:s,s:o,s:s,s:{s:I,s:I,s:I},s:[o,o],s:I,s:I}",
		    "Service", string(service), "Address", "10.0.0.2:8", "Zone",
		    string(zone), "State", "ready", "Capacity", "Cpu",
		    (json_int_t)cores, "MemMb", (json_int_t)memory_mb, "Gpu",
		    (json_int_t)accels, "Labels", string(kind), string(rack),
		    "ClockMs", (json_int_t)clock_ms, "born",
		    (json_int_t)born_ms));

		expect_known(seed, text, 13025706832161297534U);
		ASSERT_EQ(CW_OK,
		    pl_host_parse("i-1", text.data(), text.size(), 50, &host))
		    << "seed " << seed;
		EXPECT_EQ((uint32_t)cores, host.cores_milli);
		EXPECT_EQ(cw_id_from_name(service.c_str()), host.pool);
		text = dump(json_pack("{s:s,s:[{s:i,s:o,s:o}]}", "Spec", "s",
		    "Steps", "Count", 1, "Requirements", string(kind),
		    "DataRack", string(rack)));
		ASSERT_EQ(CW_OK, pl_job_parse(text.data(), text.size(), &job))
		    << "seed " << seed << " " << cw_error_last();
		EXPECT_STREQ(host.kind, job.steps[0].label);
		EXPECT_STREQ(host.rack, job.steps[0].data_rack);
	}
}

/* Guards against a worker whose list of runs is valid and turned away, and
 * against checkpoints that are mixed up. */
TEST(PlatformValid, ListsOfRunsAreRead)
{
	for (unsigned seed : seeds()) {
		Messages messages(seed);
		std::vector<std::string> checkpoints;
		json_t *running = json_array();
		json_t *ended = json_array();
		struct fw_report report = {};
		auto task = [&] {
			char name[64];
			/* Seeds on record were drawn in this order. */
			unsigned run = (unsigned)messages.number(UINT32_MAX);
			unsigned number = (unsigned)messages.number(UINT32_MAX);
			unsigned step = (unsigned)messages.number(UINT32_MAX);
			int64_t job = messages.draw(0, INT64_MAX);

			snprintf(name, sizeof(name), "%016llx.%u.%u.%u",
			    (unsigned long long)job, step, number, run);
			return std::string(name);
		};

		for (int64_t i = messages.draw(0, 30); i > 0; i--) {
			checkpoints.push_back(messages.text());
			int64_t progress = messages.number(1000);
			int64_t saved = messages.number(UINT32_MAX);
			std::string name = task();

			json_array_append_new(running,
			    json_pack("[s,I,o,f]", name.c_str(),
				(json_int_t)saved, string(checkpoints.back()),
				(double)progress / 10));
		}
		size_t runs = checkpoints.size();
		for (int64_t i = messages.draw(0, 30); i > 0; i--) {
			checkpoints.push_back(messages.text());
			int64_t saved = messages.number(UINT32_MAX);
			std::string name = task();
			int64_t end = messages.number(INT64_MAX);

			json_array_append_new(ended,
			    json_pack("[I,s,I,s,o]", (json_int_t)end,
				name.c_str(), (json_int_t)saved, "stopped",
				string(checkpoints.back())));
		}
		int64_t born_ms = messages.number(INT64_MAX / 4);
		int64_t clock_ms = messages.number(INT64_MAX / 4);
		std::string text =
		    dump(json_pack("{s:I,s:I,s:o,s:o}", "ClockMs",
			(json_int_t)clock_ms, "born", (json_int_t)born_ms,
			"Running", running, "EndedRuns", ended));
		expect_known(seed, text, 828336782564060964U);
		ASSERT_EQ(
		    CW_OK, pl_report_parse(text.data(), text.size(), &report))
		    << "seed " << seed;
		ASSERT_EQ(runs, report.run_count);
		ASSERT_EQ(checkpoints.size() - runs, report.end_count);
		for (size_t i = 0; i < checkpoints.size(); i++) {
			const struct bd_text *at = i < runs
			    ? &report.runs[i].checkpoint
			    : &report.ends[i - runs].checkpoint;

			EXPECT_EQ(checkpoints[i],
			    std::string(fw_report_text(&report, at), at->bytes))
			    << "seed " << seed;
		}
		fw_report_free(&report);
	}
}
