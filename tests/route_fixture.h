#ifndef CAMPHOR_TESTS_ROUTE_FIXTURE_H
#define CAMPHOR_TESTS_ROUTE_FIXTURE_H

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "config.h"
#include "route.h"
#include "state.h"

// A board with one service and two accounts, and the router that reads it. The
// time is now_ms, which only the test advances.
struct RouteFixture {
	explicit RouteFixture(uint64_t incarnation = 77) : self(incarnation)
	{
		struct rt_settings settings;
		struct bd_service row = {};

		rt_rng_seed(1);
		EXPECT_EQ(bd_board_create(&board), CW_OK);
		EXPECT_EQ(st_create(&state, board), CW_OK);
		rt_settings_default(&settings);
		settings.self = self;
		settings.zone = cw_id_from_name("z1");
		settings.region = cw_id_from_name("r1");
		settings.queue_max = 8;
		EXPECT_EQ(rt_create(&route, board, &settings), CW_OK);
		put_config(1, 0);
		service = row.id = cw_id_from_name("quotes");
		strcpy(row.name, "quotes");
		row.class_default = BD_CLASS_NORMAL;
		row.timeout_ms = 10000;
		row.body_max_bytes = row.answer_max_bytes = 1 << 20;
		row.attempts_max = 3;
		row.account_count = 2;
		row.accounts[0] = cw_id_from_name("himal");
		row.accounts[1] = cw_id_from_name("other");
		put(BD_TABLE_service, BD_WRITER_STATE, row);
		put_account("himal", 0, 0);
		put_account("other", 0, 0);
	}
	~RouteFixture()
	{
		rt_destroy(route);
		st_destroy(state);
		bd_board_destroy(board);
	}
	RouteFixture(const RouteFixture &) = delete;
	RouteFixture &operator=(const RouteFixture &) = delete;

	template <typename Row>
	void
	put(enum bd_table_number table, enum bd_writer writer, const Row &row)
	{
		EXPECT_EQ(bd_put(board, table, writer, row.id, &row,
			      sizeof(row), nullptr),
		    CW_OK);
	}
	void
	put_config(uint32_t entry_vms, uint32_t cross_bytes)
	{
		struct bd_config row = {};
		row.version = 1;
		row.entry_vms = entry_vms;
		row.cross_region_bytes_per_s = cross_bytes;
		EXPECT_EQ(bd_put(board, BD_TABLE_config, BD_WRITER_STATE,
			      BD_CONFIG_ID, &row, sizeof(row), nullptr),
		    CW_OK);
	}
	uint64_t put_account(const char *name, uint32_t rate,
	    uint32_t concurrency, uint32_t queue_max = 0,
	    const char *key = nullptr);
	uint64_t
	put_upstream(const std::string &address, uint32_t slots,
	    const char *zone = "z1", const char *region = "r1",
	    uint32_t leaving = 0)
	{
		struct bd_runner row = {};
		row.id =
		    cw_id_from_pair(service, cw_id_from_name(address.c_str()));
		row.service = service;
		row.zone = cw_id_from_name(zone);
		row.region = cw_id_from_name(region);
		strcpy(row.address, address.c_str());
		row.slots = slots;
		row.connections = 64;
		row.leaving = leaving;
		put(BD_TABLE_runner, BD_WRITER_STATE, row);
		return row.id;
	}
	// Advances the time by ms and runs the controllers once.
	void
	step(int64_t ms = 100)
	{
		now_ms += ms;
		rt_health_step(route, now_ms);
		rt_index_step(route, now_ms);
	}
	struct rt_admission
	admission(bool idempotent = true, uint64_t account_id = 0)
	{
		struct rt_admission a = {};
		a.service = service;
		a.account =
		    account_id != 0 ? account_id : cw_id_from_name("himal");
		a.class_number = BD_CLASS_NORMAL;
		a.idempotent = idempotent;
		a.bytes_estimate = 1000;
		a.deadline_us = (now_ms + 10000) * 1000;
		return a;
	}
	int
	pick(struct rt_pick *out, bool idempotent = true)
	{
		struct rt_admission a = admission(idempotent);
		struct rt_pick_query query = {&a, nullptr, 0};
		return rt_repick(route, &query, now_ms * 1000, out);
	}
	void
	done(const struct rt_pick &p, enum rt_outcome_kind kind,
	    int64_t took_us = 1000, bool leaving = false)
	{
		struct rt_outcome o = {};
		o.kind = kind;
		o.leaving = leaving;
		o.retry_after_ms = -1;
		o.bytes_out = o.bytes_in = 500;
		o.ended_us = now_ms * 1000;
		o.started_us = o.ended_us - took_us;
		rt_attempt_done(route, &p, &o);
	}
	uint64_t self;
	struct bd_board *board = nullptr;
	struct st_state *state = nullptr;
	struct rt_router *route = nullptr;
	uint64_t service = 0;
	int64_t now_ms = 1000000;
};

inline uint64_t
RouteFixture::put_account(const char *name, uint32_t rate, uint32_t concurrency,
    uint32_t queue_max, const char *key)
{
	struct bd_account row = {};
	row.id = cw_id_from_name(name);
	strcpy(row.name, name);
	row.rate_per_s = rate;
	row.concurrency = concurrency;
	row.queue_max = queue_max;
	if (key != nullptr)
		cfg_key_hash(row.key_salt, key, row.key_hash);
	put(BD_TABLE_account, BD_WRITER_STATE, row);
	return row.id;
}

// In-memory log of several VMs: applies each record on all of them at once, in
// the order of the proposals.
struct FakeReplicatedLog {
	enum Mode {
		UP,
		OUTAGE,      // proposals are refused
		LOST_ANSWER, // applied, but completed as unknown
		SILENT,      // neither applied nor completed until destruction
	};

	explicit FakeReplicatedLog(std::vector<RouteFixture *> routers)
	    : vms(routers)
	{
	}
	~FakeReplicatedLog()
	{
		for (const struct st_completion &done : unanswered)
			done.call(done.ctx, ST_EUNAVAILABLE, 0);
	}
	FakeReplicatedLog(const FakeReplicatedLog &) = delete;
	FakeReplicatedLog &operator=(const FakeReplicatedLog &) = delete;

	struct st_sink
	sink(RouteFixture &vm)
	{
		contexts.push_back({this, &vm});
		return {propose, &contexts.back()};
	}
	struct Context {
		FakeReplicatedLog *log;
		RouteFixture *vm;
	};
	static int
	propose(
	    void *ctx, const struct rec *rec, const struct st_completion *done)
	{
		Context *c = static_cast<Context *>(ctx);
		FakeReplicatedLog *log = c->log;
		std::lock_guard<std::mutex> guard(log->lock);

		if (log->before)
			log->before();
		log->proposed[rec->kind]++;
		if (log->mode == OUTAGE)
			return ST_EUNAVAILABLE;
		if (log->mode == SILENT) {
			if (done != nullptr)
				log->unanswered.push_back(*done);
			return CW_OK;
		}
		struct rec copy = *rec;
		copy.writer = c->vm->self;
		copy.sequence = ++log->sequence;
		copy.time_ms = 1000;
		int code = CW_OK;
		log->position++;
		for (RouteFixture *vm : log->vms) {
			int status = st_apply(vm->state, &copy, log->position);
			if (vm == c->vm)
				code = status;
		}
		log->applied[rec->kind] += code == CW_OK;
		if (done != nullptr)
			done->call(done->ctx,
			    log->mode == LOST_ANSWER ? (int)ST_EUNKNOWN : code,
			    log->position);
		return CW_OK;
	}
	std::vector<RouteFixture *> vms;
	Mode mode = UP;
	std::function<void()> before; // called before each proposal
	std::mutex lock;
	std::list<Context> contexts;
	std::vector<struct st_completion> unanswered;
	uint64_t sequence = 0;
	uint64_t position = 0;
	std::map<uint32_t, int> proposed;
	std::map<uint32_t, int> applied;
};

#endif
