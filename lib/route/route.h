#ifndef CAMPHOR_ROUTE_H
#define CAMPHOR_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes, and the router itself. All times of this package are of
 * the monotonic clock (cw_clock_mono_us, cw_clock_mono_ms); that holds for the
 * rows of the tables health and share too.
 */
enum rt_status {
	RT_EDRAINING = CW_BASE_ROUTE - 1, /* this VM takes no new work */
	RT_ERATE = CW_BASE_ROUTE - 2,     /* above the account's rate */
	RT_ECONCURRENCY = CW_BASE_ROUTE - 3,
	RT_EQUEUEFULL = CW_BASE_ROUTE - 4,
	RT_ETOOLATE = CW_BASE_ROUTE - 5,  /* would wait beyond its deadline */
	RT_ENORUNNER = CW_BASE_ROUTE - 6, /* the service has none in service */
	RT_EBUSY = CW_BASE_ROUTE - 7,     /* all runners are full */
	RT_ENOMEM = CW_BASE_ROUTE - 8,
	RT_ENOTFOUND = CW_BASE_ROUTE - 9,
	RT_EINPROGRESS =
	    CW_BASE_ROUTE - 10, /* this key runs, here or elsewhere */
	RT_EREPEATED = CW_BASE_ROUTE - 11,  /* this key has an outcome */
	RT_EKEYREUSED = CW_BASE_ROUTE - 12, /* same key, another body */
	RT_ELOG = CW_BASE_ROUTE - 13,       /* the log does not take records */
	RT_EPEER = CW_BASE_ROUTE - 14,      /* the owner VM does not answer */
};

const char *rt_status_name(int code);

struct rt_settings {
	uint64_t self; /* incarnation of this VM */
	uint64_t zone; /* cw_id_from_name of its name */
	uint64_t region;
	uint32_t queue_max;      /* requests waiting for one service */
	size_t answer_bytes_max; /* all answers kept */
};

struct rt_route;

void rt_settings_default(struct rt_settings *settings);
int rt_create(struct rt_route **out, struct bd_board *board,
    const struct rt_settings *settings);
void rt_destroy(struct rt_route *route);
void rt_seed(uint64_t seed);

/*
 * 2. The path of a request: rt_admit, then for each attempt a call to
 * the runner and rt_attempt_done, then rt_leave. rt_admit may block.
 */
#define RT_TRIED_MAX 4

/* Why and for how long a request is refused; it did not run. */
struct rt_refusal {
	uint32_t retry_after_ms;
};

enum rt_distance {
	RT_SAME_ZONE,
	RT_SAME_REGION,
	RT_OTHER_REGION,
	RT_DISTANCE_COUNT,
};

/* A runner with one of its places taken. */
struct rt_pick {
	struct bd_handle runner;
	uint64_t runner_id;
	uint64_t service;
	char address[CW_NAME_BYTES];
	uint32_t cap; /* requests that this VM may have on the runner */
	enum rt_distance distance;
	bool probe; /* half-open: one request tests an ejected runner */
	uint64_t bytes_reserved;
	uint32_t latency_us; /* usual one of the runner, 0: unknown */
};

struct rt_admission {
	uint64_t service;
	uint64_t account;
	uint32_t class_number;
	bool idempotent;
	uint64_t bytes_estimate; /* request and answer */
	int64_t deadline_us;
};

int rt_enter(struct rt_route *route, uint64_t account, int64_t now_us,
    struct rt_refusal *refusal);
void rt_leave(struct rt_route *route, uint64_t account);
int rt_admit(struct rt_route *route, const struct rt_admission *admission,
    int64_t now_us, struct rt_pick *pick, struct rt_refusal *refusal);

enum rt_outcome_kind {
	RT_OUTCOME_OK,          /* a whole answer that is no failure */
	RT_OUTCOME_PUSHBACK,    /* 429 */
	RT_OUTCOME_ERROR,       /* a whole answer with 500 to 599 */
	RT_OUTCOME_NOT_STARTED, /* no byte left */
	RT_OUTCOME_LOST,
	RT_OUTCOME_TRUNCATED,
	RT_OUTCOME_TIMEOUT,
	RT_OUTCOME_SILENT, /* kept connection without a byte of answer */
	RT_OUTCOME_UNUSED, /* the place was given back without an attempt */
	RT_OUTCOME_COUNT,
};

const char *rt_outcome_name(enum rt_outcome_kind kind);

struct rt_outcome {
	enum rt_outcome_kind kind;
	bool leaving;
	int32_t retry_after_ms; /* -1: none given */
	uint64_t bytes_out;
	uint64_t bytes_in;
	int64_t started_us;
	int64_t ended_us;
};

void rt_attempt_done(struct rt_route *route, const struct rt_pick *pick,
    const struct rt_outcome *outcome);

/*
 * 3. Retries
 */
enum rt_verdict {
	RT_VERDICT_RETRY,
	RT_VERDICT_FINAL,     /* the outcome is the answer */
	RT_VERDICT_UNSAFE,    /* it may have run */
	RT_VERDICT_NO_BUDGET, /* retries of this VM are used up */
	RT_VERDICT_NO_TIME,
	RT_VERDICT_NO_ATTEMPT,
};

struct rt_retry {
	enum rt_verdict verdict;
	int64_t delay_us;
};

struct rt_retry_query {
	enum rt_outcome_kind outcome;
	int http_status;
	uint32_t attempt; /* the first is 1 */
	uint32_t attempts_max;
	bool idempotent;
	bool started; /* a byte that could start it has left */
	int64_t deadline_us;
};

struct rt_retry rt_retry_decide(struct rt_route *route,
    const struct rt_retry_query *query, int64_t now_us, uint64_t random);

/* Counts a first try, which pays 0.1 of a retry. */
void rt_retry_first(struct rt_route *route);
bool rt_retry_is_paid(const struct rt_route *route);

struct rt_pick_query {
	const struct rt_admission *admission;
	const struct bd_handle *tried;
	uint32_t tried_count;
};

/* Takes a place for a further attempt, on a runner not tried before if one
 * has a place free. Returns RT_EBUSY or RT_ENORUNNER. */
int rt_repick(struct rt_route *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick);

/*
 * 4. Answers kept for GET /v1/requests/{id}. An id names the owner VM.
 */
#define RT_ID_BYTES 33
#define RT_TYPE_BYTES 64

enum rt_ran {
	RT_RAN_NOT,
	RT_RAN_UNKNOWN,
	RT_RAN_YES,
};

const char *rt_ran_name(enum rt_ran ran);

struct rt_answer {
	uint64_t owner;
	uint64_t request;
	uint64_t account;
	bool running;
	int http_status;
	enum rt_ran ran;
	char content_type[RT_TYPE_BYTES];
	char *body; /* the caller of rt_answer_get frees it */
	size_t body_bytes;
};

uint64_t rt_request_number(struct rt_route *route);
void rt_id_format(uint64_t owner, uint64_t request, char id[RT_ID_BYTES]);
int rt_id_parse(const char *id, uint64_t *owner, uint64_t *request);
int rt_answer_put(
    struct rt_route *route, const struct rt_answer *answer, int64_t now_ms);
int rt_answer_get(
    struct rt_route *route, uint64_t request, struct rt_answer *out);
int64_t rt_answer_step(struct rt_route *route, int64_t now_ms);

/* Fetches an answer from the VM that owns it; the answer's body is malloc'd.
 * Returns CW_OK, RT_ENOTFOUND or RT_EPEER. */
struct rt_peer {
	int (*fetch)(
	    void *ctx, uint64_t owner, uint64_t request, struct rt_answer *out);
	void *ctx;
};

/*
 * 5. At most once. rt_once_begin blocks until the intent is applied; only
 * CW_OK allows the first byte to leave.
 */
struct rt_once {
	uint64_t id; /* row of table request */
	uint64_t account;
	uint64_t service;
	uint64_t body_hash;
};

struct rt_known {
	struct rt_answer answer; /* the caller frees its body */
	bool answer_kept;        /* false: only its status is known */
	bool owner_lost;         /* the VM that ran it is gone */
};

void rt_once_id(struct rt_once *once, uint64_t account, const char *key);
int rt_once_lookup(
    struct rt_route *route, const struct rt_once *once, struct rt_known *known);
int rt_once_begin(struct rt_route *route, const struct rt_once *once,
    uint64_t request, const struct st_sink *sink, int64_t timeout_ms);
void rt_once_end(struct rt_route *route, const struct rt_once *once,
    const struct rt_answer *answer, const struct st_sink *sink);
void rt_once_release(struct rt_route *route, const struct rt_once *once,
    uint64_t request, const struct st_sink *sink);
int rt_once_find(struct rt_route *route, uint64_t owner, uint64_t request,
    struct rt_answer *out);
int64_t rt_once_step(
    struct rt_route *route, const struct st_sink *sink, int64_t now_ms);

/*
 * 6. Controllers. Each is called by its own runner thread and returns when it
 * wants to run again (ms).
 */
int64_t rt_index_step(struct rt_route *route, int64_t now_ms);
int64_t rt_health_step(
    struct rt_route *route, int64_t now_ms); /* writes health */

/*
 * 7. Fleet: demand for leases of limits, which it grants in table share, and
 * loads of runners on other VMs.
 */
struct rt_demand {
	uint64_t account;
	uint32_t rate_per_s;  /* asked for in the last second, with refusals */
	uint32_t concurrency; /* highest in the last second, with refusals */
};

struct rt_load {
	uint64_t runner;
	uint32_t in_flight;
};

size_t rt_demand_read(
    struct rt_route *route, struct rt_demand *out, size_t max);
void rt_load_each(struct rt_route *route,
    void (*each)(void *ctx, uint64_t runner, uint32_t in_flight), void *ctx);
void rt_load_set(struct rt_route *route, uint64_t peer,
    const struct rt_load *loads, size_t count);
void rt_load_forget(struct rt_route *route, uint64_t peer);

/*
 * 8. Graceful shutdown
 */
void rt_drain(struct rt_route *route);
bool rt_is_draining(const struct rt_route *route);
uint32_t rt_in_flight(const struct rt_route *route);
bool rt_drain_wait(struct rt_route *route, int64_t timeout_ms);

/*
 * 9. Figures. Histograms are in microseconds, by account and class.
 */
enum rt_hist_kind {
	RT_HIST_QUEUE,
	RT_HIST_UPSTREAM,
	RT_HIST_TOTAL,
	RT_HIST_COUNT,
};

enum rt_counter {
	RT_COUNT_REQUESTS,
	RT_COUNT_ATTEMPTS,
	RT_COUNT_RETRIES,
	RT_COUNT_RETRIES_DENIED,
	RT_COUNT_QUEUED,
	RT_COUNT_REFUSED_LIMIT,
	RT_COUNT_REFUSED_QUEUE,
	RT_COUNT_REFUSED_LATE,
	RT_COUNT_REFUSED_OTHER,
	RT_COUNT_EJECTIONS,
	RT_COUNT_LEAVING_SIGNALS,
	RT_COUNT_CROSS_REQUEST_BYTES, /* between regions */
	RT_COUNT_CROSS_ANSWER_BYTES,
	RT_COUNT_CROSS_REFUSED,
	RT_COUNT_ONCE_REPEATS,
	RT_COUNT_ONCE_CONFLICTS,
	RT_COUNT_ANSWERS_EVICTED,
	RT_COUNTERS,
};

const char *rt_counter_name(enum rt_counter counter);
const char *rt_hist_name(enum rt_hist_kind kind);
void rt_count(struct rt_route *route, enum rt_counter counter, uint64_t n);
uint64_t rt_counter_read(const struct rt_route *route, enum rt_counter counter);
uint64_t rt_outcome_read(
    const struct rt_route *route, enum rt_outcome_kind kind);
void rt_time(struct rt_route *route, uint64_t account, uint32_t class_number,
    enum rt_hist_kind kind, int64_t us);

struct rt_hist_reader {
	void (*hist)(void *ctx, uint64_t account, uint32_t class_number,
	    enum rt_hist_kind kind, const struct hist *hist);
	void *ctx;
};

void rt_hist_read(
    const struct rt_route *route, const struct rt_hist_reader *reader);

#ifdef __cplusplus
}
#endif

#endif
