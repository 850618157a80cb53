#ifndef CAMPHOR_ROUTE_INTERNAL_H
#define CAMPHOR_ROUTE_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#include <urcu/urcu-bp.h>

#include "route.h"

#define RT_RUNNERS 4096  /* capacity of table runner */
#define RT_SERVICES 512  /* ids ever seen, twice the table's capacity */
#define RT_ACCOUNTS 1024 /* ids ever seen, four times the table's capacity */
#define RT_PEERS 32
#define RT_STRIPES 16
#define RT_RING 65536 /* answers */
#define RT_WEIGHT_FULL 1000

/* Gauges of a runner, by the index of its row. */
struct rt_gauge {
	_Alignas(64) atomic_uint in_flight;
	atomic_uint peer_load;
	atomic_uint latency_us; /* moving average, 0: none yet */
	atomic_uint failures_in_row;
	atomic_uint ok;     /* in total, wraps */
	atomic_uint failed; /* in total, wraps */
	atomic_int_least64_t leaving_until_us;
	atomic_int_least64_t avoid_until_us;
	atomic_uint weight; /* of RT_WEIGHT_FULL, written by health */
	atomic_uint probe_permits;
	atomic_uint generation; /* of the row that the gauge counts for */
};

/* A runner that may be chosen. */
struct rt_candidate {
	struct bd_handle runner;
	uint64_t id;
	uint32_t slots;
	uint32_t cap;
	enum rt_distance distance;
	char address[CW_NAME_BYTES];
};

struct rt_group {
	uint32_t count;
	uint32_t first; /* in the index's candidates */
};

struct rt_service {
	uint64_t id;
	uint32_t slots; /* of all groups */
	struct rt_group groups[RT_DISTANCE_COUNT];
	struct rt_group probes;
};

/* Candidates by service; immutable once published. */
struct rt_index {
	struct rcu_head rcu;
	uint64_t signature;
	uint64_t cross_bytes_per_s;
	uint32_t service_count;
	uint32_t candidate_count;
	uint32_t table[RT_SERVICES]; /* place of a service + 1, by its id */
	struct rt_service *services;
	struct rt_candidate *candidates;
};

/* Generic cell rate: the time up to which what was taken is paid for. */
struct rt_bucket {
	atomic_int_least64_t paid_ns;
};

bool rt_bucket_take(struct rt_bucket *bucket, int64_t now_us, double rate_per_s,
    double amount, int64_t burst_us, int64_t *wait_us);
void rt_bucket_charge(
    struct rt_bucket *bucket, double rate_per_s, double amount);

struct rt_waiter {
	struct rt_waiter *next;
	pthread_cond_t wake;
	const struct rt_admission *admission;
	struct rt_pick *pick;
	uint32_t account; /* slot */
	uint32_t weight_milli;
	int status; /* RT_EBUSY while it waits */
};

/* Requests that wait for a runner of one service. */
struct rt_queue {
	_Alignas(64) atomic_uint_least64_t service;
	atomic_uint waiting;
	/* Written by every thread, unlike what stands above. */
	_Alignas(64) atomic_uint latency_us; /* average of one attempt */
	pthread_mutex_t lock;
	struct rt_waiter *head;
	uint64_t virtual_time;
	uint64_t virtual_finish[RT_ACCOUNTS];
};

struct rt_hists {
	struct hist kinds[RT_HIST_COUNT];
};

/* Gauges of an account, by its slot. */
struct rt_account {
	_Alignas(64) atomic_uint_least64_t id;
	struct rt_bucket rate;
	atomic_uint concurrency;
	atomic_uint peak;
	atomic_uint asked;
	_Atomic(struct rt_hists *) hists[BD_CLASS_COUNT];
};

struct rt_stripe {
	_Alignas(64) atomic_uint_least64_t counters[RT_COUNTERS];
	atomic_uint_least64_t outcomes[RT_OUTCOME_COUNT];
};

/* What the health controller keeps of a runner. */
struct rt_watch {
	uint32_t generation;
	uint32_t seen_ok;
	uint32_t seen_failed;
	double ok; /* in the window, decayed */
	double failed;
	uint32_t state; /* enum bd_health_state */
	uint32_t ejections;
	int64_t since_ms;
	int64_t until_ms;
};

struct rt_entry {
	struct rcu_head rcu;
	struct rt_entry *next;
	int64_t kept_ms;
	struct rt_answer answer;
	char body[];
};

struct rt_pending;

struct rt_peer_loads {
	uint64_t peer;
	uint16_t load[RT_RUNNERS];
};

struct rt_route {
	struct bd_board *board;
	struct rt_settings settings;
	struct rt_index *index;
	struct rt_gauge *gauges;
	struct rt_account *accounts;
	struct rt_queue *queues;
	struct rt_watch *watches;
	struct rt_stripe *stripes;
	struct rt_bucket cross;
	atomic_int retry_tenths;
	atomic_uint_least64_t requests;
	atomic_uint in_flight;
	atomic_bool draining;
	pthread_mutex_t drain_lock;
	pthread_cond_t drained;
	int64_t index_scan_ms;
	int64_t health_step_ms;
	_Atomic(struct rt_entry *) *ring;
	atomic_size_t ring_bytes;
	atomic_uint_least64_t ring_tail;
	_Atomic(struct rt_entry *) retired;
	int64_t answers_scan_ms;
	_Atomic(struct rt_pending *) pending_new;
	struct rt_pending *pending; /* of the controller */
	pthread_mutex_t fleet_lock; /* loads of peers, off the path */
	struct rt_peer_loads *peers[RT_PEERS];
};

uint32_t rt_account_slot(struct rt_route *route, uint64_t account);
struct rt_queue *rt_queue_get(struct rt_route *route, uint64_t service);
const struct rt_service *rt_service_find(
    const struct rt_index *index, uint64_t service);
struct cw_rng *rt_rng(void);
struct timespec rt_time_after(int64_t wait_us);
void rt_outcome_count(struct rt_route *route, enum rt_outcome_kind kind);
void rt_gauge_init(struct rt_route *route, uint32_t index, uint32_t generation);
int rt_pick_take(struct rt_route *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick);
int rt_queue_wait(struct rt_route *route, struct rt_queue *queue,
    const struct rt_admission *admission, int64_t now_us, struct rt_pick *pick,
    struct rt_refusal *refusal);
void rt_queue_dispatch(
    struct rt_route *route, struct rt_queue *queue, int64_t now_us);
void rt_queue_dispatch_all(struct rt_route *route, int64_t now_us);
void rt_answers_destroy(struct rt_route *route);
void rt_once_destroy(struct rt_route *route);

#endif
