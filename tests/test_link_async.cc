#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_async.h"
#include "resetting_server.h"

namespace {

/* Accepts one connection, reads a request and sends the parts of an answer with
 * a pause after each. Reads on, without an answer, until the client closes. */
struct SlowServer {
	int listener = -1;
	std::string address;
	std::thread thread;

	SlowServer(int parts_announced, int parts_sent, int pause_ms)
	{
		struct sockaddr_in name = {};
		socklen_t bytes = sizeof(name);

		listener = socket(AF_INET, SOCK_STREAM, 0);
		name.sin_family = AF_INET;
		name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(
		    0, bind(listener, (struct sockaddr *)&name, sizeof(name)));
		EXPECT_EQ(0, listen(listener, 4));
		getsockname(listener, (struct sockaddr *)&name, &bytes);
		address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
		thread = std::thread([=] {
			serve(parts_announced, parts_sent, pause_ms);
		});
	}

	~SlowServer()
	{
		thread.join();
		close(listener);
	}

	void
	serve(int parts_announced, int parts_sent, int pause_ms)
	{
		std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
		    std::to_string(parts_announced) + "\r\n\r\n";
		char data[4096];
		int fd = accept(listener, nullptr, nullptr);

		if (read(fd, data, sizeof(data)) > 0 && parts_sent > 0)
			send(fd, head.data(), head.size(), MSG_NOSIGNAL);
		for (int i = 0; i < parts_sent; i++) {
			send(fd, "x", 1, MSG_NOSIGNAL);
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(pause_ms));
		}
		while (read(fd, data, sizeof(data)) > 0)
			;
		close(fd);
	}
};

struct Outcome {
	std::promise<void> done;
	enum lk_http_outcome outcome = LK_HTTP_NOT_STARTED;
	size_t bytes = 0;
	bool refused = false;
	int status = 0;

	static void
	on_done(void *ctx, const struct lk_async_answer *answer)
	{
		Outcome *outcome = (Outcome *)ctx;

		outcome->outcome = answer->outcome;
		outcome->bytes = answer->body_bytes;
		outcome->refused = answer->refused;
		outcome->status = answer->status;
		outcome->done.set_value();
	}
};

/* Calls a server that sends some of the announced parts and returns the
 * outcome. The call may pause for 500 ms. */
void
call(int parts_announced, int parts_sent, int pause_ms, Outcome *outcome)
{
	SlowServer server(parts_announced, parts_sent, pause_ms);
	struct lk_async *async = nullptr;
	struct lk_async_call call = {};

	ASSERT_EQ(CW_OK, lk_async_start(&async, 64));
	call.address = server.address.c_str();
	call.path = "/";
	call.timeout_ms = call.stall_ms = 500;
	call.done = Outcome::on_done;
	call.ctx = outcome;
	ASSERT_EQ(CW_OK, lk_async_submit(async, &call));
	EXPECT_EQ(std::future_status::ready,
	    outcome->done.get_future().wait_for(std::chrono::seconds(30)));
	lk_async_stop(async);
}

/* Sends POST requests one after the other and returns the status or the outcome
 * of each. */
std::vector<std::string>
call_in_turn(const std::string &address, int count)
{
	std::vector<std::string> outcomes;
	struct lk_async *async = nullptr;
	struct lk_async_call call = {};

	EXPECT_EQ(CW_OK, lk_async_start(&async, 64));
	call.address = address.c_str();
	call.path = "/";
	call.post = true;
	call.timeout_ms = 5000;
	call.done = Outcome::on_done;
	for (int i = 0; i < count; i++) {
		Outcome outcome;

		call.ctx = &outcome;
		EXPECT_EQ(CW_OK, lk_async_submit(async, &call));
		outcome.done.get_future().wait();
		outcomes.push_back(outcome.refused ? "refused"
			: outcome.outcome == LK_HTTP_COMPLETE
			? std::to_string(outcome.status)
			: outcome.outcome == LK_HTTP_LOST ? "lost"
							  : "other");
	}
	lk_async_stop(async);
	return outcomes;
}

} // namespace

/* A repeated call would start from the first byte again. */
TEST(LinkAsync, SlowAnswerThatKeepsArrivingIsNotAborted)
{
	Outcome outcome;

	call(30, 30, 50, &outcome);
	EXPECT_EQ(LK_HTTP_COMPLETE, outcome.outcome);
	EXPECT_EQ(30U, outcome.bytes);
}

/* Guards against waiting for the rest of an answer whose connection is dead. */
TEST(LinkAsync, AnswerThatStopsArrivingFails)
{
	Outcome outcome;

	call(30, 3, 10, &outcome);
	EXPECT_EQ(LK_HTTP_TIMEOUT, outcome.outcome);
	EXPECT_EQ(3U, outcome.bytes);
}

/* Guards against waiting for an answer that never begins. */
TEST(LinkAsync, AnswerThatDoesNotBeginFails)
{
	Outcome outcome;

	call(1, 0, 0, &outcome);
	EXPECT_EQ(LK_HTTP_TIMEOUT, outcome.outcome);
	EXPECT_EQ(0U, outcome.bytes);
}

/* Guards against a repeated call on an idle connection that is dead as well. */
TEST(LinkAsync, NewConnectionIsNotAnIdleOne)
{
	SlowServer server(1, 1, 0);
	struct lk_async *async = nullptr;
	struct lk_async_call call = {};

	ASSERT_EQ(CW_OK, lk_async_start(&async, 64));
	call.address = server.address.c_str();
	call.path = "/";
	call.timeout_ms = 500;
	call.done = Outcome::on_done;
	for (bool new_connection : {false, true}) {
		Outcome outcome;

		call.new_connection = new_connection;
		call.ctx = &outcome;
		ASSERT_EQ(CW_OK, lk_async_submit(async, &call));
		outcome.done.get_future().wait();
	}
	EXPECT_EQ(2U, lk_async_connections(async));
	lk_async_stop(async);
}

/* A connection that is not needed any more must be closed: thousands of idle
 * ones kept the thread busy with testing them. */
TEST(LinkAsync, LastCallClosesItsConnection)
{
	SlowServer server(1, 1, 0);
	struct lk_async *async = nullptr;
	struct lk_async_call call = {};

	ASSERT_EQ(CW_OK, lk_async_start(&async, 64));
	call.address = server.address.c_str();
	call.path = "/";
	call.timeout_ms = 500;
	call.done = Outcome::on_done;
	for (bool last : {false, true, false}) {
		Outcome outcome;

		call.last_on_connection = last;
		call.ctx = &outcome;
		ASSERT_EQ(CW_OK, lk_async_submit(async, &call));
		outcome.done.get_future().wait();
	}
	EXPECT_EQ(2U, lk_async_connections(async));
	lk_async_stop(async);
}

/* Guards against an order that was carried out and counts as never sent. */
TEST(LinkAsync, SentRequestIsNotReportedAsRefused)
{
	ResettingServer server(false);

	EXPECT_EQ((std::vector<std::string>{"200", "lost", "refused"}),
	    call_in_turn(server.address, 3));
	EXPECT_EQ(2, server.requests);
}

/* Guards against taking the answer to the second copy for that of the first. */
TEST(LinkAsync, PostIsNotRepeatedWhenItsConnectionBreaks)
{
	ResettingServer server(true);

	EXPECT_EQ((std::vector<std::string>{"200", "lost", "503"}),
	    call_in_turn(server.address, 3));
	EXPECT_EQ(3, server.requests);
}
