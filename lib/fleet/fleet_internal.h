#ifndef CAMPHOR_FLEET_INTERNAL_H
#define CAMPHOR_FLEET_INTERNAL_H

#include <pthread.h>

#include "fleet.h"

#define FL_PENDING_RESULTS_MAX 256
#define FL_RESULT_TIMEOUT_MS 2000
#define FL_JOBS_INTERVAL_MS 500
#define FL_WORKERS_INTERVAL_MS 1000

/* A RESULT_GET in flight to the VM that owns the request. */
struct fl_pending_result {
	uint64_t ticket;     /* links the answer to the request; 0: unused */
	uint64_t owner;      /* incarnation */
	int64_t deadline_ms; /* completes with FL_ETIMEOUT then */
	struct fl_result_done done;
};

/* Time (ms) of the next run of each periodic task. */
struct fl_due_times {
	int64_t heartbeat;
	int64_t shares;
	int64_t jobs;
	int64_t expiry;
	int64_t workers;
};

struct fl_fleet {
	pthread_mutex_t lock; /* held by fl_step, fl_receive and other calls */
	struct fl_options options;
	struct fl_members members;
	struct fl_loads loads;
	struct fl_holder holder;
	struct fl_granter granter;
	struct fl_relay relay;
	struct fl_vms vms;
	struct fl_claims duty_claims;
	struct fl_claims job_claims;
	struct fl_claims worker_claims;
	struct fl_claims expiry_claims;
	struct fl_traffic_counters traffic;
	struct fl_due_times due;
	struct fl_pending_result pending_results[FL_PENDING_RESULTS_MAX];
	uint64_t ticket;            /* of the latest RESULT_GET */
	uint64_t mismatch_position; /* of the latest rebuild requested */
	int64_t scheduled_ms;       /* time of the next step */
	int64_t vms_due_ms; /* next poll of the VM list, fl_vms_step only */
	CW_ATOMIC(uint32_t) vms_listed; /* the VM list was read at least once */
	CW_ATOMIC(uint32_t) leaving;
	/* State registered with the platform, enum pf_vm_state + 1; 0: none. */
	uint32_t announced;
	struct fl_msg incoming;
	struct fl_msg outgoing;
	unsigned char data[FL_MSG_DATA_BYTES_MAX]; /* of an outgoing answer */
	unsigned char frame[FL_MSG_BYTES_MAX];     /* encoded message to send */
};

/* fl_send and fl_send_member send fleet->outgoing, fl_send_frame an encoded
 * frame. The caller holds the lock. */
int fl_send(struct fl_fleet *fleet, const char *address);
int fl_send_frame(
    struct fl_fleet *fleet, const char *address, uint32_t kind, size_t bytes);
int fl_send_member(struct fl_fleet *fleet, uint64_t member);
void fl_send_heartbeats(struct fl_fleet *fleet, int64_t now_ms);
void fl_send_leave(struct fl_fleet *fleet, bool gone);

/* Requests missing records from a peer; lowers *next_ms. */
void fl_run_relay(struct fl_fleet *fleet, int64_t now_ms, int64_t *next_ms);
void fl_request_shares(struct fl_fleet *fleet, int64_t now_ms);
void fl_publish_members(struct fl_fleet *fleet);
void fl_serve_share_request(struct fl_fleet *fleet, uint64_t requester,
    const struct fl_share_list *request, int64_t now_ms,
    struct fl_share_list *grant, bool *granted);
void fl_complete_result(struct fl_pending_result *pending, int status,
    uint32_t http_status, const void *data, size_t bytes);

#endif
