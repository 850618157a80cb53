#ifndef CAMPHOR_ROUTE_INTERNAL_H
#define CAMPHOR_ROUTE_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#include <urcu/urcu-bp.h>

#include "route.h"

#define RT_UPSTREAMS_MAX 4096 /* capacity of table runner */
/* Distinct ids since start: 2 and 4 times the capacities of the tables. */
#define RT_SERVICES_MAX 512
#define RT_ACCOUNTS_MAX 1024
#define RT_PEERS_MAX 32
#define RT_COUNTER_STRIPES 16
#define RT_ANSWER_RING_SIZE 65536 /* answers */
#define RT_WEIGHT_FULL 1000

/* Statistics of an upstream, indexed by its row in table runner. */
struct rt_upstream_stats {
	_Alignas(64) atomic_uint in_flight; /* requests of this VM */
	atomic_uint peer_in_flight; /* requests of other VMs, as reported */
	atomic_uint latency_us;     /* moving average, 0: unknown */
	atomic_uint consecutive_failures;
	atomic_uint ok;     /* total, wraps around */
	atomic_uint failed; /* total, wraps around */
	atomic_int_least64_t leaving_until_us;
	atomic_int_least64_t deprioritized_until_us;
	atomic_uint weight;        /* of RT_WEIGHT_FULL, set by health.c */
	atomic_uint probe_permits; /* 1: one request may probe it, else 0 */
	atomic_uint generation;    /* of the row described, plus 1; 0: none */
};

/* An upstream that may be picked. */
struct rt_candidate {
	struct bd_handle handle;
	uint64_t id;
	uint32_t slots;
	uint32_t in_flight_max; /* slots that this VM may use */
	enum rt_locality locality;
	char address[CW_NAME_BYTES];
};

/* A range of candidates in the index. */
struct rt_group {
	uint32_t count;
	uint32_t first;
};

/* Candidates of a service by locality; probes are half-open upstreams. */
struct rt_service {
	uint64_t id;
	uint32_t slots; /* of all candidates, probes included */
	struct rt_group groups[RT_LOCALITY_COUNT];
	struct rt_group probes;
};

/* Candidates by service; immutable once published through RCU. */
struct rt_index {
	struct rcu_head rcu;
	uint64_t fingerprint;
	uint64_t cross_region_bytes_per_s;
	uint32_t service_count;
	uint32_t candidate_count;
	/* Hash table by service id: index in services, plus 1. */
	uint32_t service_table[RT_SERVICES_MAX];
	struct rt_service *services;
	struct rt_candidate *candidates;
};

/* Rate limiter by the generic cell rate algorithm: its only state is the
 * theoretical arrival time. */
struct rt_bucket {
	atomic_int_least64_t tat_ns;
};

bool rt_bucket_take(struct rt_bucket *bucket, int64_t now_us, double rate_per_s,
    double amount, int64_t burst_us, int64_t *wait_us);
void rt_bucket_charge(
    struct rt_bucket *bucket, double rate_per_s, double amount);

/* A queued request, on the stack of its thread. */
struct rt_waiter {
	struct rt_waiter *next;
	pthread_cond_t wake;
	const struct rt_admission *admission;
	struct rt_pick *pick;
	uint32_t account; /* index in accounts */
	uint32_t weight_milli;
	int status; /* RT_EBUSY while queued */
};

/* Requests that wait for a slot on an upstream of one service. */
struct rt_queue {
	_Alignas(64) atomic_uint_least64_t service;
	atomic_uint waiting;
	/* On a cache line of its own, as every thread writes it. */
	_Alignas(64) atomic_uint latency_us; /* moving average of one attempt */
	pthread_mutex_t lock;
	struct rt_waiter *head;
	uint64_t virtual_time; /* weighted fair queueing over accounts */
	uint64_t virtual_finish[RT_ACCOUNTS_MAX];
};

/* Histograms of one account and class. */
struct rt_hists {
	struct hist kinds[RT_HIST_COUNT];
};

/* Usage of an account, indexed by rt_account_index. */
struct rt_account {
	_Alignas(64) atomic_uint_least64_t id;
	struct rt_bucket rate_bucket; /* requests */
	atomic_uint concurrency;
	atomic_uint peak_concurrency;
	atomic_uint requested; /* since rt_demand_read, with refused ones */
	_Atomic(struct rt_hists *) hists[BD_CLASS_COUNT];
};

/* Counters of the threads that share one stripe. */
struct rt_stripe {
	_Alignas(64) atomic_uint_least64_t counters[RT_COUNTERS];
	atomic_uint_least64_t outcomes[RT_OUTCOME_COUNT];
};

/* Outlier detection state of one upstream. */
struct rt_health_tracker {
	uint32_t generation; /* of the row described, plus 1; 0: none */
	uint32_t last_ok;    /* counter values at the previous step */
	uint32_t last_failed;
	double ok; /* exponentially decayed counts */
	double failed;
	uint32_t state; /* enum bd_health_state */
	uint32_t ejections;
	int64_t since_ms;
	int64_t until_ms;
};

/* A stored answer, in the ring or in the list of retired ones. */
struct rt_answer_entry {
	struct rcu_head rcu;
	struct rt_answer_entry *next;
	int64_t stored_ms;
	struct rt_answer answer;
	char body[];
};

struct rt_pending_outcome;

/* Requests that another VM has in flight, by row of table runner. */
struct rt_peer_loads {
	uint64_t peer;
	uint16_t load[RT_UPSTREAMS_MAX];
};

struct rt_router {
	struct bd_board *board;
	struct rt_settings settings;
	struct rt_index *index;
	struct rt_upstream_stats *upstream_stats;
	struct rt_account *accounts;
	struct rt_queue *queues;
	struct rt_health_tracker *trackers;
	struct rt_stripe *stripes;
	struct rt_bucket cross_region_bucket; /* bytes */
	atomic_int retry_budget_tenths;       /* tenths of a retry */
	atomic_uint_least64_t last_request;
	atomic_uint in_flight;
	atomic_bool draining;
	pthread_mutex_t drain_lock;
	pthread_cond_t drained;
	int64_t index_scan_ms;
	int64_t health_step_ms;
	_Atomic(struct rt_answer_entry *) *answer_ring;
	atomic_size_t answer_ring_bytes;
	atomic_uint_least64_t answer_ring_tail;
	_Atomic(struct rt_answer_entry *) answers_retired;
	int64_t answers_scan_ms;
	/* Lock-free stack, which the controller moves to pending. */
	_Atomic(struct rt_pending_outcome *) pending_incoming;
	struct rt_pending_outcome *pending; /* used by the controller only */
	pthread_mutex_t peer_lock; /* protects peers; not taken per request */
	struct rt_peer_loads *peers[RT_PEERS_MAX];
};

uint32_t rt_account_index(struct rt_router *route, uint64_t account);
struct rt_queue *rt_queue_get(struct rt_router *route, uint64_t service);
const struct rt_service *rt_service_find(
    const struct rt_index *index, uint64_t service);
struct cw_rng *rt_rng(void);
struct timespec rt_deadline_after(int64_t wait_us);
void rt_outcome_counter_add(struct rt_router *route, enum rt_outcome_kind kind);
void rt_upstream_stats_reset(
    struct rt_router *route, uint32_t index, uint32_t generation);
int rt_pick_take(struct rt_router *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick);
int rt_queue_wait(struct rt_router *route, struct rt_queue *queue,
    const struct rt_admission *admission, int64_t now_us, struct rt_pick *pick,
    struct rt_refusal *refusal);
void rt_queue_dispatch(
    struct rt_router *route, struct rt_queue *queue, int64_t now_us);
void rt_queue_dispatch_all(struct rt_router *route, int64_t now_us);
void rt_answers_destroy(struct rt_router *route);
void rt_idempotency_destroy(struct rt_router *route);

#endif
