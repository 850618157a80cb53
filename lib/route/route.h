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
 * 1. Status codes and the life cycle of the router. All times of this module,
 * including those in the rows of tables health and share, are read from the
 * monotonic clock (cw_clock_mono_us, cw_clock_mono_ms).
 */
enum rt_status {
	RT_EDRAINING = CW_BASE_ROUTE - 1,    /* this VM is shutting down */
	RT_ERATE = CW_BASE_ROUTE - 2,        /* account's rate limit exceeded */
	RT_ECONCURRENCY = CW_BASE_ROUTE - 3, /* concurrency limit exceeded */
	RT_EQUEUEFULL = CW_BASE_ROUTE - 4,
	RT_EDEADLINE = CW_BASE_ROUTE - 5,   /* deadline before a slot is free */
	RT_ENOUPSTREAM = CW_BASE_ROUTE - 6, /* no upstream available */
	RT_EBUSY = CW_BASE_ROUTE - 7,       /* no upstream has a free slot */
	RT_ENOMEM = CW_BASE_ROUTE - 8,
	RT_ENOTFOUND = CW_BASE_ROUTE - 9,
	RT_EINPROGRESS = CW_BASE_ROUTE - 10, /* key's request runs on some VM */
	RT_EREPEATED = CW_BASE_ROUTE - 11,   /* key has an outcome */
	RT_EKEYREUSED = CW_BASE_ROUTE - 12,  /* other body or service */
	RT_ELOG = CW_BASE_ROUTE - 13,        /* log unreachable */
	RT_EPEER = CW_BASE_ROUTE - 14,       /* owner VM does not answer */
};

const char *rt_status_name(int code);

struct rt_settings {
	uint64_t self; /* incarnation of this VM */
	uint64_t zone; /* cw_id_from_name of its name */
	uint64_t region;
	uint32_t queue_max;      /* queued requests of one service */
	size_t answer_bytes_max; /* total size of all stored answers */
};

struct rt_router;

void rt_settings_default(struct rt_settings *settings);
int rt_create(struct rt_router **out, struct bd_board *board,
    const struct rt_settings *settings);
void rt_destroy(struct rt_router *route);
void rt_rng_seed(uint64_t seed);

/*
 * 2. Request processing: rt_request_begin, rt_admit, for each attempt a call to
 * the upstream and rt_attempt_done, then rt_request_end. Further attempts take
 * their upstream with rt_repick. rt_admit may block.
 */
#define RT_TRIED_MAX 4

/* Set when a request is refused before it ran. */
struct rt_refusal {
	uint32_t retry_after_ms; /* earliest useful retry, from now */
};

enum rt_locality {
	RT_SAME_ZONE,
	RT_SAME_REGION,
	RT_OTHER_REGION,
	RT_LOCALITY_COUNT,
};

/* An upstream on which the request holds one slot. */
struct rt_pick {
	struct bd_handle upstream_handle; /* row in table runner */
	uint64_t upstream_id;
	uint64_t service;
	char address[CW_NAME_BYTES];
	uint32_t in_flight_max; /* slots that this VM may use on the upstream */
	enum rt_locality locality;
	bool probe; /* half-open: a request that tests an ejected upstream */
	uint64_t bytes_reserved; /* of the cross-region budget */
	uint32_t latency_us; /* moving average of the upstream, 0: unknown */
};

struct rt_admission {
	uint64_t service;
	uint64_t account;
	uint32_t class_number;
	bool idempotent;
	uint64_t bytes_estimate; /* request and answer */
	int64_t deadline_us;
};

int rt_request_begin(struct rt_router *route, uint64_t account, int64_t now_us,
    struct rt_refusal *refusal);
void rt_request_end(struct rt_router *route, uint64_t account);
int rt_admit(struct rt_router *route, const struct rt_admission *admission,
    int64_t now_us, struct rt_pick *pick, struct rt_refusal *refusal);

enum rt_outcome_kind {
	RT_OUTCOME_OK,          /* complete answer, no failure */
	RT_OUTCOME_PUSHBACK,    /* status 429 */
	RT_OUTCOME_ERROR,       /* complete answer with status 500 to 599 */
	RT_OUTCOME_NOT_STARTED, /* no byte was sent */
	RT_OUTCOME_LOST,      /* connection lost before the first answer byte */
	RT_OUTCOME_TRUNCATED, /* connection lost within the answer */
	RT_OUTCOME_TIMEOUT,
	RT_OUTCOME_SILENT, /* no byte of answer on a reused connection */
	RT_OUTCOME_UNUSED, /* slot released without an attempt */
	RT_OUTCOME_COUNT,
};

const char *rt_outcome_name(enum rt_outcome_kind kind);

struct rt_outcome {
	enum rt_outcome_kind kind;
	bool leaving;           /* the upstream announced its shutdown */
	int32_t retry_after_ms; /* -1: not given */
	uint64_t bytes_out;
	uint64_t bytes_in;
	int64_t started_us;
	int64_t ended_us;
};

void rt_attempt_done(struct rt_router *route, const struct rt_pick *pick,
    const struct rt_outcome *outcome);

/*
 * 3. Retries, limited by a budget per VM to a tenth of the first attempts.
 */
enum rt_verdict {
	RT_VERDICT_RETRY,
	RT_VERDICT_FINAL,     /* pass the outcome on to the caller */
	RT_VERDICT_UNSAFE,    /* not idempotent and may have run */
	RT_VERDICT_NO_BUDGET, /* retry budget of this VM is exhausted */
	RT_VERDICT_NO_TIME,   /* deadline too close */
	RT_VERDICT_NO_ATTEMPTS_LEFT,
};

struct rt_retry_decision {
	enum rt_verdict verdict;
	int64_t delay_us; /* before the next attempt */
};

struct rt_retry_query {
	enum rt_outcome_kind outcome;
	int http_status;
	uint32_t attempt; /* the first is 1 */
	uint32_t attempts_max;
	bool idempotent;
	bool started; /* bytes were sent that may have started it */
	int64_t deadline_us;
};

struct rt_retry_decision rt_retry_decide(struct rt_router *route,
    const struct rt_retry_query *query, int64_t now_us, uint64_t random);

void rt_retry_first_attempt(struct rt_router *route);
bool rt_retry_has_budget(const struct rt_router *route);

struct rt_pick_query {
	const struct rt_admission *admission;
	const struct bd_handle *tried; /* upstreams of earlier attempts */
	uint32_t tried_count;
};

int rt_repick(struct rt_router *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick);

/*
 * 4. Answers stored for GET /v1/requests/{id}. The id contains the incarnation
 * of the VM that owns the request.
 */
#define RT_ID_BYTES 33
#define RT_CONTENT_TYPE_BYTES 64

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
	char content_type[RT_CONTENT_TYPE_BYTES];
	char *body; /* the caller of rt_answer_get frees it */
	size_t body_bytes;
};

uint64_t rt_request_number(struct rt_router *route);
void rt_id_format(uint64_t owner, uint64_t request, char id[RT_ID_BYTES]);
int rt_id_parse(const char *id, uint64_t *owner, uint64_t *request);
int rt_answer_put(
    struct rt_router *route, const struct rt_answer *answer, int64_t now_ms);
int rt_answer_get(
    struct rt_router *route, uint64_t request, struct rt_answer *out);
int64_t rt_answer_step(struct rt_router *route, int64_t now_ms);

/* Fetches an answer from the VM that owns it; the caller frees its body.
 * Returns CW_OK, RT_ENOTFOUND or RT_EPEER. */
struct rt_answer_source {
	int (*fetch)(
	    void *ctx, uint64_t owner, uint64_t request, struct rt_answer *out);
	void *ctx;
};

/*
 * 5. At-most-once execution by idempotency key. rt_idempotency_begin blocks
 * until the intent is applied; the request may be sent only after it returned
 * CW_OK.
 */
struct rt_idempotency_key {
	uint64_t id; /* id of the row in table request */
	uint64_t account;
	uint64_t service;
	uint64_t body_hash;
};

/* What is known of the request of a key. */
struct rt_idempotency_result {
	struct rt_answer answer; /* the caller frees its body */
	bool answer_stored;      /* false: only the status is stored */
	bool owner_lost;         /* the owner VM is dead or unknown */
};

void rt_idempotency_key_init(
    struct rt_idempotency_key *key, uint64_t account, const char *text);
int rt_idempotency_lookup(struct rt_router *route,
    const struct rt_idempotency_key *key, struct rt_idempotency_result *result);
int rt_idempotency_begin(struct rt_router *route,
    const struct rt_idempotency_key *key, uint64_t request,
    const struct st_sink *sink, int64_t timeout_ms);
void rt_idempotency_complete(struct rt_router *route,
    const struct rt_idempotency_key *key, const struct rt_answer *answer,
    const struct st_sink *sink);
void rt_idempotency_release(struct rt_router *route,
    const struct rt_idempotency_key *key, uint64_t request,
    const struct st_sink *sink);
int rt_idempotency_find(struct rt_router *route, uint64_t owner,
    uint64_t request, struct rt_answer *out);
int64_t rt_idempotency_step(
    struct rt_router *route, const struct st_sink *sink, int64_t now_ms);

/*
 * 6. Controllers. Each is called by a thread of its own and returns the time of
 * its next call (ms).
 */
int64_t rt_index_step(struct rt_router *route, int64_t now_ms);
int64_t rt_health_step(struct rt_router *route, int64_t now_ms);

/*
 * 7. Interface to the fleet: the demand of accounts, for which the fleet leases
 * parts of their limits in table share, and the requests that other VMs have in
 * flight on upstreams.
 */
struct rt_demand {
	uint64_t account;
	uint32_t rate_per_s;  /* of the last second, with refused requests */
	uint32_t concurrency; /* peak, likewise */
};

struct rt_upstream_load {
	uint64_t upstream_id;
	uint32_t in_flight;
};

size_t rt_demand_read(
    struct rt_router *route, struct rt_demand *out, size_t max);
void rt_load_each(struct rt_router *route,
    void (*callback)(void *ctx, uint64_t upstream, uint32_t in_flight),
    void *ctx);
void rt_peer_load_set(struct rt_router *route, uint64_t peer,
    const struct rt_upstream_load *loads, size_t count);
void rt_peer_load_remove(struct rt_router *route, uint64_t peer);

/*
 * 8. Graceful shutdown: rt_drain, then rt_drain_wait.
 */
void rt_drain(struct rt_router *route);
bool rt_is_draining(const struct rt_router *route);
uint32_t rt_in_flight(const struct rt_router *route);
bool rt_drain_wait(struct rt_router *route, int64_t timeout_ms);

/*
 * 9. Metrics. Histograms are in microseconds, by account and class.
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
	RT_COUNT_CROSS_REGION_REQUEST_BYTES,
	RT_COUNT_CROSS_REGION_ANSWER_BYTES,
	RT_COUNT_CROSS_REGION_REFUSED,
	RT_COUNT_ONCE_REPEATS,
	RT_COUNT_ONCE_CONFLICTS,
	RT_COUNT_ANSWERS_EVICTED,
	RT_COUNTERS,
};

const char *rt_counter_name(enum rt_counter counter);
const char *rt_hist_name(enum rt_hist_kind kind);
void rt_counter_add(
    struct rt_router *route, enum rt_counter counter, uint64_t n);
uint64_t rt_counter_read(
    const struct rt_router *route, enum rt_counter counter);
uint64_t rt_outcome_read(
    const struct rt_router *route, enum rt_outcome_kind kind);
void rt_hist_record(struct rt_router *route, uint64_t account,
    uint32_t class_number, enum rt_hist_kind kind, int64_t us);

struct rt_hist_reader {
	void (*hist)(void *ctx, uint64_t account, uint32_t class_number,
	    enum rt_hist_kind kind, const struct hist *hist);
	void *ctx;
};

void rt_hist_read(
    const struct rt_router *route, const struct rt_hist_reader *reader);

#ifdef __cplusplus
}
#endif

#endif
