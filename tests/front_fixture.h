#ifndef CAMPHOR_TESTS_FRONT_FIXTURE_H
#define CAMPHOR_TESTS_FRONT_FIXTURE_H

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "front.h"

// A front end over a board filled by the test and a sink whose results the test
// chooses.
struct FrontFixture : public ::testing::Test {
	void
	SetUp() override
	{
		ASSERT_EQ(bd_board_create(&board), CW_OK);
		fr_options_default(&options);
		options.board = board;
		options.sink = {propose, this};
		options.wall = {now, this};
		options.mono = {now, this};
		options.apply_timeout_ms = 20;
		options.self = 77;
		cw_name_copy(options.vm, sizeof(options.vm), "entry-1");
		create_front();
	}
	void
	TearDown() override
	{
		complete_delayed();
		fr_destroy(front);
		bd_board_destroy(board);
	}
	// Completes the proposals that the sink has delayed, as when the log
	// becomes reachable again.
	void
	complete_delayed()
	{
		for (const struct st_completion &done : delayed_completions)
			done.call(done.ctx, CW_OK, 1);
		delayed_completions.clear();
	}
	// Creates the front end with the present options.
	void
	create_front()
	{
		if (front != nullptr)
			fr_destroy(front);
		ASSERT_EQ(fr_create(&front, &options), CW_OK);
	}
	template <typename Row>
	void
	put(enum bd_table_number table, enum bd_writer writer, const Row &row)
	{
		ASSERT_EQ(bd_put(board, table, writer, row.id, &row,
			      sizeof(row), nullptr),
		    CW_OK);
	}
	void
	put_config(uint64_t version)
	{
		std::vector<char> bytes(sizeof(struct bd_config) + 8, 0);
		struct bd_config row = {};
		row.version = version;
		row.text_bytes = 8;
		memcpy(bytes.data(), &row, sizeof(row));
		memcpy(bytes.data() + sizeof(row), "# a text", 8);
		ASSERT_EQ(
		    bd_put(board, BD_TABLE_config, BD_WRITER_STATE,
			BD_CONFIG_ID, bytes.data(), bytes.size(), nullptr),
		    CW_OK);
	}
	// The key of each account is its name followed by "-key".
	void
	put_account(const char *name, enum bd_role role)
	{
		struct bd_account row = {};
		row.id = cw_id_from_name(name);
		cw_name_copy(row.name, sizeof(row.name), name);
		row.role = role;
		row.quota_accels = 64;
		cfg_key_hash(row.key_salt, (std::string(name) + "-key").c_str(),
		    row.key_hash);
		put(BD_TABLE_account, BD_WRITER_STATE, row);
	}
	void
	put_accounts()
	{
		put_config(3);
		put_account("ops", BD_ROLE_OPERATOR);
		put_account("alpha", BD_ROLE_CALLER);
		put_account("beta", BD_ROLE_CALLER);
	}
	struct bd_job
	put_job(uint64_t id, const char *account, enum bd_job_state state)
	{
		struct bd_job row = {};
		row.id = id;
		row.epoch = id;
		row.account = cw_id_from_name(account);
		row.shape = {1, 2, 1000, 1024};
		row.state = state;
		cw_name_copy(row.name, sizeof(row.name), "job");
		put(BD_TABLE_job, BD_WRITER_STATE, row);
		return row;
	}
	void
	put_worker(const char *name, const char *rack, uint32_t accels)
	{
		struct bd_worker row = {};
		row.id = cw_id_from_name(name);
		row.rack = cw_id_from_name(rack);
		row.accels = accels;
		row.cores_milli = 32000;
		row.memory_mb = 65536;
		cw_name_copy(row.name, sizeof(row.name), name);
		cw_name_copy(row.rack_name, sizeof(row.rack_name), rack);
		put(BD_TABLE_worker, BD_WRITER_STATE, row);
	}
	void
	put_task(uint64_t job, const char *worker, uint32_t mask)
	{
		struct bd_task row = {};
		row.id = cw_id_from_pair(job, 0);
		row.job = job;
		row.worker = cw_id_from_name(worker);
		row.accel_mask = mask;
		put(BD_TABLE_task, BD_WRITER_STATE, row);
	}
	// Sends one request as an account (nullptr: without a key). Stores the
	// body of the response and returns its status.
	int
	serve(const char *method, const std::string &path, const char *account,
	    const std::string &body = "", const char *submit_key = nullptr)
	{
		struct lk_http_request request = {};
		struct lk_http_response response = {};
		std::string key = account == nullptr ? "" : account;
		size_t query_mark = path.find('?');
		std::string url_path = path.substr(0, query_mark);
		std::string query = query_mark == std::string::npos
		    ? ""
		    : path.substr(query_mark + 1);
		struct fr_call call = {&request, nullptr, nullptr, submit_key};

		key += "-key";
		request.method = method;
		request.path = url_path.c_str();
		request.query = query.c_str();
		request.body = body.data();
		request.body_bytes = body.size();
		if (account != nullptr) {
			call.account = account;
			call.key = key.c_str();
		}
		fr_serve(front, &call, &response);
		response_body.assign(
		    (const char *)response.body, response.body_bytes);
		if (response.body_free != nullptr)
			response.body_free(response.body);
		return response.status;
	}
	bool
	response_contains(const char *part) const
	{
		return response_body.find(part) != std::string::npos;
	}
	static int
	propose(
	    void *ctx, const struct rec *rec, const struct st_completion *done)
	{
		auto *self = static_cast<FrontFixture *>(ctx);
		self->proposed.push_back(*rec);
		if (self->on_propose)
			return self->on_propose(*rec, *done);
		if (self->status != ST_EUNKNOWN || self->completes_unknown)
			done->call(done->ctx, self->status, 4096);
		else
			self->delayed_completions.push_back(*done);
		return CW_OK;
	}
	static int64_t
	now(void *ctx)
	{
		return static_cast<FrontFixture *>(ctx)->now_ms;
	}
	struct bd_board *board = nullptr;
	struct fr_options options = {};
	struct fr_front *front = nullptr;
	int64_t now_ms = 1000000;
	int status = CW_OK; // status with which the sink completes proposals
	bool completes_unknown = false;
	std::function<int(const struct rec &, const struct st_completion &)>
	    on_propose;
	std::vector<struct rec> proposed;
	std::vector<struct st_completion>
	    delayed_completions; // not reported yet
	std::string response_body;
};

#endif
