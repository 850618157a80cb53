#include <gtest/gtest.h>

#include <cstring>
#include <future>
#include <string>
#include <vector>

#include "adapter.h"
#include "scripted_server.h"

namespace {

/* A client whose store and whose worker give the scripted answers. */
struct Client {
	ScriptedServer server;
	struct pl_client client = {};
	struct fw_store store = {};
	struct fw_workers workers = {};

	explicit Client(const std::vector<ScriptedServer::Answer> &answers)
	    : server(answers)
	{
		EXPECT_EQ(CW_OK, lk_async_start(&client.async, 64));
		snprintf(client.store_address, sizeof(client.store_address),
		    "%s", server.address.c_str());
		pl_store_callbacks(&client, &store);
		pl_worker_callbacks(&client, &workers);
	}

	~Client()
	{
		lk_async_stop(client.async);
	}
};

struct Append {
	std::promise<enum fw_result> result;
	uint64_t end = UINT64_MAX;

	static void
	on_done(void *ctx, enum fw_result result, uint64_t end)
	{
		Append *append = (Append *)ctx;

		append->end = end;
		append->result.set_value(result);
	}
};

/* Returns the result of an append, of one record or of none, that gets an
 * answer. */
enum fw_result
append_result(int status, const std::string &body, bool empty, uint64_t *end)
{
	Client client({{status, body}});
	struct fw_record record = {};
	struct fw_append call = {};
	Append append;
	enum fw_result result;

	strcpy(record.key, "j/0123456789abcdef");
	record.value = "x";
	record.value_bytes = 1;
	call.topic = FW_TOPIC_JOBS;
	call.records = &record;
	call.count = empty ? 0 : 1;
	call.term = 7;
	call.timeout_ms = 5000;
	call.done = Append::on_done;
	call.ctx = &append;
	EXPECT_EQ(CW_OK, client.store.append(client.store.ctx, &call));
	result = append.result.get_future().get();
	*end = append.end;
	return result;
}

struct Order {
	std::promise<enum fw_answer> answer;

	static void
	on_done(void *ctx, const struct fw_report *report)
	{
		((Order *)ctx)->answer.set_value(report->answer);
	}
};

/* Returns what an order counts as that gets an answer. */
enum fw_answer
order_answer(enum fw_order_kind kind, int status, const std::string &body)
{
	Client client({{status, body}});
	struct fw_order call = {};
	Order order;

	call.kind = kind;
	call.address = client.server.address.c_str();
	call.host = "i-1";
	call.token = 7;
	call.timeout_ms = 5000;
	strcpy(call.task.job, "0123456789abcdef");
	call.run = 1;
	call.text = call.checkpoint = "";
	call.done = Order::on_done;
	call.ctx = &order;
	EXPECT_EQ(CW_OK, client.workers.order(client.workers.ctx, &call));
	return order.answer.get_future().get();
}

} // namespace

/* Guards against a job that was stored and is reported as never running: a
 * server or a proxy may answer so after it has carried out the call. */
TEST(PlatformAnswers, AppendIsInDoubtUnlessItsStatusRulesItOut)
{
	uint64_t end;

	for (int status : {202, 204, 302, 408, 500, 501, 502, 504, 599})
		EXPECT_EQ(FW_RESULT_UNKNOWN,
		    append_result(
			status, status == 204 ? "" : "{}", false, &end))
		    << status;
	for (int status : {400, 403, 404, 409, 412, 413, 429, 503, 507})
		EXPECT_EQ(FW_RESULT_NOT_DONE,
		    append_result(status, "{}", false, &end))
		    << status;
}

/* Guards against a placer that takes the log for empty or waits forever for
 * records at an offset that it does not know. */
TEST(PlatformAnswers, AppendWithoutAnEndIsInDoubt)
{
	uint64_t end;

	for (const char *body : {"", "{", "[]", "{}", "{\"End\":null}",
		 "{\"End\":-1}", "{\"End\":\"9\"}", "{\"End\":1e300}",
		 "{\"End\":18446744073709551616}"})
		for (bool empty : {false, true})
			EXPECT_EQ(FW_RESULT_UNKNOWN,
			    append_result(200, body, empty, &end))
			    << body << empty;
	EXPECT_EQ(FW_RESULT_UNKNOWN,
	    append_result(200, "{\"Offset\":0,\"End\":0}", false, &end));
	EXPECT_EQ(FW_RESULT_DONE,
	    append_result(200, "{\"Offset\":0,\"End\":0}", true, &end));
	EXPECT_EQ(0U, end);
	EXPECT_EQ(FW_RESULT_DONE,
	    append_result(200, "{\"Offset\":8,\"End\":9}", false, &end));
	EXPECT_EQ(9U, end);
}

/* Guards against runs that are taken for lost because the answer to a hold does
 * not list them; answers to starts and stops have no lists. */
TEST(PlatformAnswers, HoldWithoutBothListsIsNotRead)
{
	const std::string runs = "\"Running\":[]", ends = "\"EndedRuns\":[]";

	for (const std::string &lists :
	    {std::string(), runs, ends, "\"Running\":null," + ends,
		"\"Running\":{}," + ends, runs + ",\"EndedRuns\":\"\""})
		EXPECT_EQ(FW_ANSWER_UNKNOWN,
		    order_answer(FW_ORDER_HOLD, 200,
			"{\"ClockMs\":5" + (lists.empty() ? "" : "," + lists) +
			    "}"))
		    << lists;
	EXPECT_EQ(FW_ANSWER_DONE,
	    order_answer(FW_ORDER_HOLD, 200, "{" + runs + "," + ends + "}"));
	for (enum fw_order_kind kind : {FW_ORDER_START, FW_ORDER_STOP})
		EXPECT_EQ(
		    FW_ANSWER_DONE, order_answer(kind, 200, "{\"ClockMs\":5}"));
}

/* Guards against a start that was carried out and counts as never sent. */
TEST(PlatformAnswers, OrderIsInDoubtUnlessItsStatusRulesItOut)
{
	for (int status : {202, 204, 302, 408, 500, 501, 502, 504, 599})
		EXPECT_EQ(FW_ANSWER_UNKNOWN,
		    order_answer(
			FW_ORDER_START, status, status == 204 ? "" : "{}"))
		    << status;
	for (int status : {400, 403, 404, 409, 413})
		EXPECT_EQ(FW_ANSWER_REJECTED,
		    order_answer(FW_ORDER_START, status, "{}"))
		    << status;
	for (int status : {429, 503})
		EXPECT_EQ(
		    FW_ANSWER_BUSY, order_answer(FW_ORDER_START, status, "{}"))
		    << status;
}
