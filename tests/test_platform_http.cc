#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include <civetweb.h>

#include "platform.h"

namespace {

// Answers every request with one fixed answer, or not at all.
struct Fake {
	Fake()
	{
		const char *options[] = {"listening_ports", "127.0.0.1:0",
		    "num_threads", "8", "enable_keep_alive", "yes",
		    "keep_alive_timeout_ms", "20000", nullptr};
		struct mg_callbacks callbacks = {};
		struct mg_server_port port = {};

		mg_init_library(0);
		context = mg_start(&callbacks, nullptr, options);
		mg_set_request_handler(context, "/", handle, this);
		EXPECT_EQ(mg_get_server_ports(context, 1, &port), 1);
		address = "http://127.0.0.1:" + std::to_string(port.port);
	}
	~Fake()
	{
		set(200, "", false);
		mg_stop(context);
	}
	Fake(const Fake &) = delete;
	Fake &operator=(const Fake &) = delete;

	void
	set(int new_status, const std::string &new_body, bool is_silent)
	{
		std::lock_guard<std::mutex> lock(mutex);
		status = new_status;
		body = new_body;
		silent = is_silent;
		changed.notify_all();
	}
	static int
	handle(struct mg_connection *conn, void *arg)
	{
		Fake *fake = static_cast<Fake *>(arg);
		std::unique_lock<std::mutex> lock(fake->mutex);
		char data[4096];

		while (mg_read(conn, data, sizeof(data)) > 0)
			;
		fake->ports.push_back(mg_get_request_info(conn)->remote_port);
		fake->uri = mg_get_request_info(conn)->local_uri;
		const char *text = mg_get_request_info(conn)->query_string;
		fake->query = text == nullptr ? "" : text;
		while (fake->silent)
			fake->changed.wait(lock);
		mg_printf(conn, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n",
		    fake->status, fake->body.size());
		mg_write(conn, fake->body.data(), fake->body.size());
		return fake->status;
	}
	std::mutex mutex;
	std::condition_variable changed;
	struct mg_context *context = nullptr;
	std::string address, body, uri, query;
	std::vector<int> ports; // of the callers' connections
	int status = 200;
	bool silent = false;
};

struct Client {
	explicit Client(const std::string &address, uint32_t total_ms = 20000)
	{
		struct pf_http_settings settings = {};
		settings.address = address.c_str();
		settings.total_ms = total_ms;
		settings.answer_bytes_max = 2000;
		EXPECT_EQ(pf_http_create(&http, &settings), CW_OK);
		pf_http_platform(http, &platform);
	}
	~Client()
	{
		pf_http_destroy(http);
	}
	Client(const Client &) = delete;
	Client &operator=(const Client &) = delete;

	int
	append()
	{
		return platform.log.append(
		    platform.log.ctx, "state", "abc", 3, &offset);
	}
	int
	read(uint64_t from)
	{
		struct pf_log_sink sink = {entry, this};
		return platform.log.read(
		    platform.log.ctx, "state", from, 0, &sink);
	}
	int
	list()
	{
		struct pf_vm_sink sink = {vm, this};
		return platform.vms.list(platform.vms.ctx, &version, &sink);
	}
	int
	renew()
	{
		struct pf_task tasks[2] = {};
		tasks[0].worker_name = tasks[1].worker_name = "w1";
		return platform.tasks.renew(
		    platform.tasks.ctx, tasks, 2, results);
	}
	int
	append_bytes(size_t bytes)
	{
		std::string data(bytes, 'x');
		struct pf_traffic traffic[PF_TRAFFIC_KINDS];
		pf_http_traffic(http, traffic);
		uint64_t before = traffic[PF_TRAFFIC_LOG].sent_bytes;
		platform.log.append(
		    platform.log.ctx, "state", data.data(), bytes, &offset);
		pf_http_traffic(http, traffic);
		return static_cast<int>(
		    traffic[PF_TRAFFIC_LOG].sent_bytes - before);
	}
	int
	reports()
	{
		struct pf_report_sink sink = {report, this};
		struct pf_task task = {};
		task.worker_name = "w1";
		return platform.tasks.reports(
		    platform.tasks.ctx, &task, 1, &sink);
	}
	static int
	entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
	{
		static_cast<Client *>(ctx)->seen += std::to_string(offset) +
		    "=" + std::string(static_cast<const char *>(data), bytes) +
		    ";";
		return CW_OK;
	}
	static int
	vm(void *ctx, const struct pf_vm *row)
	{
		static_cast<Client *>(ctx)->seen += row->name;
		return CW_OK;
	}
	static int
	report(void *ctx, const struct pf_task_report *row)
	{
		static_cast<Client *>(ctx)->seen +=
		    std::to_string(row->state) + row->message;
		return CW_OK;
	}
	struct pf_http *http = nullptr;
	struct pf_platform platform = {};
	uint64_t version = 0;
	uint64_t offset = 0;
	int results[2] = {1, 1};
	std::string seen; // what sinks were given
};

std::string
frame(uint64_t offset, const std::string &data, uint32_t announced)
{
	std::string out;
	for (int shift = 56; shift >= 0; shift -= 8)
		out += static_cast<char>(offset >> shift);
	for (int shift = 24; shift >= 0; shift -= 8)
		out += static_cast<char>(announced >> shift);
	return out + data;
}

const char *const VM =
    "{\"vms\":[{\"name\":\"e1\",\"address\":\"\",\"region\":\"r\","
    "\"zone\":\"z\",\"rack\":\"\",\"kind\":\"entry\",\"state\":\"live\","
    "\"cores_milli\":1,\"memory_mb\":1,\"accels\":0}";

// Guards against a wrong status, or data of a damaged answer passed on. For a
// change an unreadable answer leaves the effect open.
TEST(PlatformHttp, AnswerGivesStatusAndNothingOfADamagedOne)
{
	enum {
		APPEND,
		READ,
		LIST,
		RENEW,
		REPORTS
	};
	const struct {
		int call;
		int status;
		std::string body;
		int expected;
		const char *seen;
	} rows[] = {
	    {APPEND, 200, "{\"offset\":7}", CW_OK, ""},
	    {APPEND, 503, "", PF_EREFUSED, ""},
	    {APPEND, 504, "", PF_EUNKNOWN, ""},
	    {APPEND, 413, "", PF_ETOOLARGE, ""},
	    {APPEND, 200, "{\"offset\":-1}", PF_EUNKNOWN, ""},
	    {APPEND, 200, "{\"offset\":", PF_EUNKNOWN, ""},
	    {APPEND, 200, std::string(3000, ' '), PF_EUNKNOWN, ""},
	    {READ, 200, "", CW_OK, ""},
	    {READ, 200, frame(5, "ab", 2) + frame(6, "", 0), CW_OK, "5=ab;6=;"},
	    {READ, 200, frame(5, "ab", 2) + frame(7, "c", 1), PF_EMALFORMED,
		""},
	    {READ, 200, frame(5, "ab", 3), PF_EMALFORMED, ""},
	    {READ, 200, frame(5, "ab", 0xffffffff), PF_EMALFORMED, ""},
	    {READ, 200, frame(4, "ab", 2), PF_EMALFORMED, ""},
	    {READ, 200, "short", PF_EMALFORMED, ""},
	    {READ, 200, std::string(3000, 'x'), PF_ETOOLARGE, ""},
	    {READ, 410, "", PF_EEXPIRED, ""},
	    {LIST, 200, std::string(VM) + "]}", CW_OK, "e1"},
	    {LIST, 200, std::string(VM) + ",{}]}", PF_EMALFORMED, ""},
	    {LIST, 304, "", PF_EREFUSED, ""},
	    {LIST, 200, "{\"vms\":{}}", PF_EMALFORMED, ""},
	    {LIST, 200, "[]", PF_EMALFORMED, ""},
	    {RENEW, 200, "{\"results\":[0,1]}", CW_OK, ""},
	    {RENEW, 200, "{\"results\":[0]}", PF_EUNKNOWN, ""},
	    {RENEW, 200, "{\"results\":[0,9]}", PF_EUNKNOWN, ""},
	    {REPORTS, 200, "{\"reports\":[[0,5,1,1,9,3,\"oom\"]]}", CW_OK,
		"5oom"},
	    {REPORTS, 200, "{\"reports\":[[1,5,1,1,9,3,\"oom\"]]}",
		PF_EMALFORMED, ""},
	    {REPORTS, 200, "{\"reports\":[[0,99,1,1,9,3,\"oom\"]]}",
		PF_EMALFORMED, ""},
	};
	Fake fake;

	for (const auto &row : rows) {
		Client client(fake.address);
		int code = 1;

		fake.set(row.status, row.body, false);
		switch (row.call) {
		case APPEND:
			code = client.append();
			break;
		case READ:
			code = client.read(5);
			break;
		case LIST:
			code = client.list();
			break;
		case RENEW:
			code = client.renew();
			break;
		default:
			code = client.reports();
		}
		EXPECT_EQ(code, row.expected)
		    << row.call << " " << row.body.substr(0, 40);
		EXPECT_EQ(client.seen, row.seen) << row.body.substr(0, 40);
	}
}

// Guards against a list of 800 VMs that is sent at every poll although nothing
// changed, and against one taken for unchanged that is not known.
TEST(PlatformHttp, ListOfAKnownVersionIsNotSentAgain)
{
	Fake fake;
	Client client(fake.address);

	fake.set(200, std::string(VM) + "],\"version\":12}", false);
	EXPECT_EQ(client.list(), CW_OK);
	fake.set(304, "", false);
	EXPECT_EQ(client.list(), PF_UNCHANGED);
	EXPECT_EQ(fake.query, "since=12");
	EXPECT_EQ(client.seen, "e1");
	fake.set(200, std::string(VM) + "]}", false);
	EXPECT_EQ(client.list(), CW_OK);
	EXPECT_EQ(client.version, 0u);
}

// Guards against bodies that are counted twice or not at all.
TEST(PlatformHttp, TrafficCountsHeadersAndBodyOnce)
{
	Fake fake;
	Client client(fake.address);

	// Content-Length has 1 and 3 digits more.
	EXPECT_EQ(client.append_bytes(1100) - client.append_bytes(100), 1001);
	EXPECT_EQ(
	    client.append_bytes(300100) - client.append_bytes(100), 300003);
}

// Guards against tasks taken for refused by their worker (and so lost) when
// only the platform's front refused the message.
TEST(PlatformHttp, OutageIsNotARefusalByTheWorker)
{
	Fake fake;
	Client client(fake.address);

	fake.set(503, "", false);
	EXPECT_EQ(client.renew(), PF_EREFUSED);
	EXPECT_EQ(client.results[0], PF_EUNREACHABLE);
	fake.set(200, "{\"results\":[0,1]}", false);
	EXPECT_EQ(client.renew(), CW_OK);
	EXPECT_EQ(client.results[0], CW_OK);
	EXPECT_EQ(client.results[1], PF_EREFUSED);
	EXPECT_EQ(fake.uri, "/tasks/renew");
}

// Guards against "no effect" for a change that was sent, and against reuse of
// the connection that went silent; good connections are reused.
TEST(PlatformHttp, SilenceIsUnknownAndTheConnectionIsReplaced)
{
	Fake fake;
	Client client(fake.address, 300);

	fake.set(200, "{\"offset\":1}", false);
	EXPECT_EQ(client.append(), CW_OK);
	EXPECT_EQ(client.append(), CW_OK);
	fake.set(200, "{\"offset\":2}", true);
	EXPECT_EQ(client.append(), PF_EUNKNOWN);
	fake.set(200, "{\"offset\":3}", false);
	EXPECT_EQ(client.append(), CW_OK);
	EXPECT_EQ(client.offset, 3u);
	std::lock_guard<std::mutex> lock(fake.mutex);
	ASSERT_EQ(fake.ports.size(), 4u);
	EXPECT_EQ(fake.ports[0], fake.ports[1]);
	EXPECT_EQ(fake.ports[1], fake.ports[2]);
	EXPECT_NE(fake.ports[2], fake.ports[3]);
}

// Guards against "unknown" where nothing was sent: callers could then not be
// told "not run".
TEST(PlatformHttp, ClosedPortIsUnreachable)
{
	std::string address;
	{
		Fake fake;
		address = fake.address;
	}
	Client client(address);

	EXPECT_EQ(client.append(), PF_EUNREACHABLE);
	EXPECT_EQ(client.read(0), PF_EUNREACHABLE);
	EXPECT_EQ(client.renew(), PF_EUNREACHABLE);
	EXPECT_EQ(client.results[1], PF_EUNREACHABLE);
}

} // namespace
