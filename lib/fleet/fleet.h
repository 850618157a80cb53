#ifndef CAMPHOR_FLEET_H
#define CAMPHOR_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "board.h"
#include "platform.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes and bounds
 */
enum fl_status {
	FL_EMALFORMED = CW_BASE_FLEET - 1, /* message cannot be decoded */
	FL_ETOOLARGE = CW_BASE_FLEET - 2, /* answer or list exceeds its bound */
	FL_EUNREACHABLE = CW_BASE_FLEET - 3, /* not sent */
	FL_ETIMEOUT = CW_BASE_FLEET - 4,     /* sent, no answer */
	FL_ENOTFOUND = CW_BASE_FLEET - 5,
	FL_EEXPIRED = CW_BASE_FLEET - 6, /* no longer retained, or too late */
	FL_EFULL = CW_BASE_FLEET - 7,
	FL_ENOMEM = CW_BASE_FLEET - 8,
	FL_EBUFFER = CW_BASE_FLEET - 9, /* message does not fit the buffer */
};

const char *fl_status_name(int code);

#define FL_MEMBERS_MAX 32
#define FL_LOADS_MAX 4096
#define FL_ACCOUNTS_MAX 256

/*
 * 2. The fleet as one controller. All side effects go through these callbacks;
 * each set has a ctx of its own, so that the packages do not depend on each
 * other.
 */
struct fl_transport {
	/* Sends one message to a peer address; never blocks. */
	int (*send)(
	    void *ctx, const char *address, const void *data, size_t bytes);
	void *ctx;
};

/* Functions of the state package that the fleet calls. */
struct fl_state_hooks {
	/* Reads the position of the tables and the digest at this position. */
	void (*get_position)(void *ctx, uint64_t *position, uint64_t *digest);
	/* Returns the offset of the next log entry to apply. */
	uint64_t (*next_offset)(void *ctx);
	/* Returns the time (ms, clock of step) since which the log has been
	 * unreachable, -1 while it is reachable. */
	int64_t (*unreachable_since_ms)(void *ctx);
	/* Returns the time (ms, clock of step) at which the latest log read
	 * was sent that reached the end of the log and whose entries are
	 * applied. */
	int64_t (*confirmed_ms)(void *ctx);
	/* Delivers retained raw entries in order, starting at from, until the
	 * sink returns an error; FL_EEXPIRED where from is no longer
	 * retained. */
	int (*read_entries)(
	    void *ctx, uint64_t from, const struct pf_log_sink *sink);
	/* Applies one raw entry that a peer relayed. */
	int (*apply_entry)(
	    void *ctx, uint64_t offset, const void *data, size_t bytes);
	/* Reads up to bytes_max bytes of the current snapshot image from start
	 * on; total is the size of the image in bytes, position that of its
	 * last record. */
	int (*snap_read)(void *ctx, uint64_t start, void *buffer,
	    size_t bytes_max, size_t *bytes, uint64_t *total,
	    uint64_t *position);
	/* Replaces the tables by a complete snapshot image. */
	int (*snap_install)(
	    void *ctx, uint64_t position, const void *data, size_t bytes);
	/* Requests a rebuild of the tables, whose digest at this position
	 * differs from that of the other members. */
	void (*rebuild)(void *ctx, uint64_t position);
	void *ctx;
};

/* Functions of the request path that the fleet calls; each may be NULL. */
struct fl_route_hooks {
	/* Calls each for every upstream with the requests in flight here. */
	void (*each_load)(void *ctx,
	    void (*each)(void *each_ctx, uint64_t upstream, uint32_t in_flight),
	    void *each_ctx);
	/* Stores the load of one upstream that another member reported. */
	void (*set_peer_load)(void *ctx, uint64_t member,
	    uint32_t upstream_short_id, uint32_t load);
	/* Discards all loads that a member reported. */
	void (*drop_peer_loads)(void *ctx, uint64_t member);
	/* Reads the rate (requests/s) and concurrency that an account could
	 * use on this VM now. */
	void (*demand)(void *ctx, uint64_t account, uint32_t *rate_per_s,
	    uint32_t *concurrency);
	/* Copies the stored answer to a request that this VM owns. Returns
	 * CW_OK or the status to report: FL_ENOTFOUND or FL_ETOOLARGE. */
	int (*result)(void *ctx, uint64_t request_id, uint32_t *http_status,
	    void *buffer, size_t bytes_max, size_t *bytes);
	/* Reports that this VM was paused: a lease is not valid until it has
	 * been confirmed again. */
	void (*paused)(void *ctx, int64_t late_ms);
	void *ctx;
};

struct fl_options {
	struct bd_board *board;
	struct bd_member self; /* id, zone, region, name and addresses */
	char region[24];       /* name, for the platform's VM list */
	char zone[24];         /* name, for the platform's VM list */
	int64_t started_ms;    /* of the process, wall clock */
	uint32_t seed_count;
	char seeds[FL_MEMBERS_MAX][CW_NAME_BYTES]; /* peer addresses */
	struct st_sink sink;
	struct fl_transport transport;
	struct fl_state_hooks state;
	struct fl_route_hooks route;
	struct pf_vm_list vms;
	struct ctl_clock wall; /* for the expiry duty */
	/* Returns whether the leases of a worker failed; may be NULL. */
	bool (*worker_failed)(void *ctx, uint64_t worker);
	void *worker_ctx;
};

struct fl_fleet;
int fl_create(
    struct fl_fleet **out, const struct fl_options *options, int64_t now_ms);
void fl_destroy(struct fl_fleet *fleet);

/* Steps for ctl_start; ctx is the fleet. fl_vms_step polls the platform's VM
 * list. */
int64_t fl_step(void *ctx, int64_t now_ms);
int64_t fl_vms_step(void *ctx, int64_t now_ms);

/* Handles one message from the transport; callable from any thread. */
void fl_receive(
    struct fl_fleet *fleet, const void *data, size_t bytes, int64_t now_ms);

/* Graceful shutdown: called without gone to announce that this VM is leaving,
 * and with gone after the last request has ended. */
void fl_leave(struct fl_fleet *fleet, bool gone, int64_t now_ms);

/* Called once, with the answer or FL_ENOTFOUND, FL_ETOOLARGE, FL_ETIMEOUT or
 * FL_EUNREACHABLE. data is valid during the call. It runs under the fleet's
 * lock and must not call a function of the fleet. */
struct fl_result_done {
	void (*call)(void *ctx, int status, uint32_t http_status,
	    const void *data, size_t bytes);
	void *ctx;
};

int fl_result_get(struct fl_fleet *fleet, uint64_t owner, uint64_t request_id,
    const struct fl_result_done *done, int64_t now_ms);

/*
 * 3. Peer messages: typed structs and their MessagePack codec.
 */
#define FL_MSG_VERSION 1
#define FL_MSG_DATA_BYTES_MAX ((size_t)64 * 1024)
#define FL_MSG_BYTES_MAX (FL_MSG_DATA_BYTES_MAX + 8192)
#define FL_MSG_LOADS_MAX 128
#define FL_MSG_ENTRIES_MAX 64

enum fl_msg_kind {
	FL_MSG_HEARTBEAT = 1,
	FL_MSG_LEAVE,
	FL_MSG_TAIL_GET,
	FL_MSG_TAIL,
	FL_MSG_SNAP_GET,
	FL_MSG_SNAP,
	FL_MSG_SHARE_ASK,
	FL_MSG_SHARE,
	FL_MSG_RESULT_GET,
	FL_MSG_RESULT,
	FL_MSG_KIND_LIMIT,
};

const char *fl_msg_kind_name(uint32_t kind);

/* Shortened ids as used in messages: fl_short_id for members and upstreams,
 * fl_account_short_id for accounts. */
#define FL_SHORT_ID_BYTES 3
uint32_t fl_short_id(uint64_t id);
uint32_t fl_account_short_id(uint64_t id);

struct fl_load {
	uint32_t upstream;  /* fl_short_id */
	uint32_t in_flight; /* 255 at most */
};

struct fl_heartbeat {
	uint64_t position;
	uint64_t digest;
	uint64_t config_version;
	uint32_t leaving;
	uint32_t has_identity; /* the identity below is present */
	int64_t started_ms;
	uint64_t zone;
	uint64_t region;
	char name[CW_NAME_BYTES];
	char peer_address[CW_NAME_BYTES];
	char http_address[CW_NAME_BYTES];
	uint32_t heard_count; /* members heard from within FL_HEARD_WINDOW_MS */
	uint32_t load_count;
	uint32_t heard[FL_MEMBERS_MAX]; /* fl_short_id */
	struct fl_load loads[FL_MSG_LOADS_MAX];
};

struct fl_leave_msg {
	uint32_t gone; /* 0: accepts no new work; 1: the process ends */
};

struct fl_tail_get {
	uint64_t from;  /* log offset of the first entry */
	uint64_t start; /* bytes of this entry received so far */
};

/* A complete entry, or a part of a large one. */
struct fl_tail_entry {
	uint64_t offset; /* in the log */
	uint32_t total;  /* size of the entry, bytes */
	uint32_t start;  /* of the part in the entry, bytes */
	uint32_t bytes;  /* size of the part */
	const void *data;
};

struct fl_tail {
	uint32_t expired; /* the entries are no longer retained */
	uint32_t count;
	struct fl_tail_entry entries[FL_MSG_ENTRIES_MAX];
};

struct fl_snap_get {
	uint64_t position; /* of the image being read, 0: any image */
	uint64_t start;    /* bytes of the image received so far */
};

/* A part of a snapshot image. */
struct fl_snap {
	uint64_t position; /* of the image */
	uint64_t total;    /* size of the image, bytes; 0: none available */
	uint64_t start;    /* of the part in the image, bytes */
	uint32_t bytes;    /* size of the part */
	const void *data;
};

struct fl_share_entry {
	uint32_t account; /* fl_account_short_id */
	uint32_t rate_per_s;
	uint32_t concurrency;
};

/* SHARE_ASK carries the demand above the floor, SHARE the amounts granted. Both
 * are deltas against the list whose sequence is base, which both ends have;
 * base 0 stands for an empty list. */
struct fl_share_list {
	uint64_t sequence;
	uint64_t base;
	uint32_t count;
	struct fl_share_entry entries[FL_ACCOUNTS_MAX];
};

struct fl_result_get_msg {
	uint64_t request_id;
	uint64_t ticket; /* returned in the RESULT */
};

struct fl_result {
	uint64_t ticket; /* of the RESULT_GET */
	int32_t status;  /* CW_OK or enum fl_status */
	uint32_t http_status;
	uint32_t bytes;
	const void *data;
};

/* Pointers refer to the decoded buffer. */
struct fl_msg {
	uint32_t kind;
	uint64_t sender; /* incarnation */
	union {
		struct fl_heartbeat heartbeat;
		struct fl_leave_msg leave;
		struct fl_tail_get tail_get;
		struct fl_tail tail;
		struct fl_snap_get snap_get;
		struct fl_snap snap;
		struct fl_share_list share; /* SHARE_ASK and SHARE */
		struct fl_result_get_msg result_get;
		struct fl_result result;
	} body;
};

int fl_msg_encode(
    const struct fl_msg *msg, void *buffer, size_t bytes_max, size_t *bytes);
int fl_msg_decode(const void *data, size_t bytes, struct fl_msg *msg);

/*
 * 4. Membership
 */
#define FL_HEARTBEAT_INTERVAL_MS 800
#define FL_SUSPECT_AFTER_MS 2400
/* A heartbeat lists the members heard from within this time. The list is used
 * until the next heartbeat, so that its information is at most
 * FL_SUSPECT_AFTER_MS old. */
#define FL_HEARD_WINDOW_MS (FL_SUSPECT_AFTER_MS - FL_HEARTBEAT_INTERVAL_MS)
#define FL_DEAD_AFTER_MS 6400
/* A step that runs later than this means that the VM was paused. */
#define FL_PAUSE_THRESHOLD_MS 1000
/* Dead members are sent heartbeats for this long, so that both sides of a
 * region link that was down for an hour rediscover each other. */
#define FL_DEAD_RETENTION_MS 7200000

struct fl_peer {
	struct bd_member row;
	int64_t started_ms;
	uint32_t heard_count;
	uint32_t heard[FL_MEMBERS_MAX]; /* fl_short_id, as it reports */
	bool leaving;                   /* announced by the member */
	bool ended;                     /* process has ended or was replaced */
	bool changed;       /* row not yet written to table member */
	bool state_changed; /* the state differs from the written row */
};

struct fl_members {
	struct bd_member self;
	uint32_t count;
	struct fl_peer peers[FL_MEMBERS_MAX];
	uint64_t removed[FL_MEMBERS_MAX]; /* ids still in table member */
	uint32_t removed_count;
	bool self_changed;
	bool self_state_changed;
};

void fl_members_init(
    struct fl_members *members, const struct bd_member *self, int64_t now_ms);
int fl_members_heartbeat(struct fl_members *members, uint64_t sender,
    const struct fl_heartbeat *heartbeat, int64_t now_ms);
void fl_members_leave(
    struct fl_members *members, uint64_t sender, bool gone, int64_t now_ms);
int64_t fl_members_tick(struct fl_members *members,
    const struct bd_board *board, int64_t scheduled_ms, int64_t now_ms);
int fl_members_apply(struct fl_members *members, struct bd_board *board);
const struct fl_peer *fl_members_find(
    const struct fl_members *members, uint64_t id);
uint32_t fl_members_heard(
    const struct fl_members *members, int64_t now_ms, uint32_t *heard);
bool fl_member_is_eligible(const struct bd_member *member);

/*
 * 5. Claims, duties, ownership of jobs, expiry. The decide functions propose
 * records; a claim is not proposed again while it is pending.
 */
/* A VM of rank r delays its claim by r times this. */
#define FL_DUTY_RANK_DELAY_MS 1000
/* Capacity of each table of claims. The first 800 workers of a new fleet take 4
 * rounds. */
#define FL_CLAIMS_MAX 256
/* A claim without an outcome may be proposed again after this time. */
#define FL_CLAIM_PENDING_MS 5000
/* A claim that failed may be proposed again this long after its proposal. */
#define FL_CLAIM_RETRY_MS 1000
#define FL_EXPIRY_INTERVAL_MS 60000

enum fl_claim_phase {
	FL_CLAIM_FAILED,
	FL_CLAIM_PENDING,
	FL_CLAIM_DECIDED, /* applied or stale: the epoch has advanced */
};

/* A proposed change of one row at one epoch. */
struct fl_claim {
	CW_ATOMIC(uint32_t) phase; /* enum fl_claim_phase */
	uint32_t reserved;
	uint64_t id; /* of row and epoch, 0: unused */
	int64_t proposed_ms;
};

struct fl_claims {
	struct fl_claim claims[FL_CLAIMS_MAX];
};

int fl_claim_propose(struct fl_claims *claims, uint64_t id, int64_t now_ms,
    const struct st_sink *sink, const struct rec *rec);

int fl_duty_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims, int64_t *next_ms);
int fl_duty_release(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims);
bool fl_duty_is_held(
    const struct bd_board *board, uint64_t duty, uint64_t self);
uint32_t fl_rendezvous_rank(
    const struct bd_board *board, uint64_t key, uint64_t self);

int fl_jobs_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims, int64_t *next_ms);
int fl_jobs_release(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims);
int fl_expiry_decide(const struct bd_board *board, uint64_t self,
    int64_t now_ms, int64_t wall_ms, const struct st_sink *sink,
    struct fl_claims *claims);

/*
 * 6. The platform's VM list, and workers
 */
#define FL_VMS_POLL_INTERVAL_MS 15000
#define FL_VMS_POLL_INTERVAL_HOLDER_MS 5000 /* of BD_DUTY_WORKERS */
#define FL_VMS_GONE_RETENTION_MS 600000

struct fl_vms {
	struct bd_board *board;
	struct pf_vm_list list;
	uint32_t count;
	uint32_t failures;     /* consecutive failed polls */
	bool overflow;         /* the list exceeds its capacity */
	bool listed;           /* the list was read at least once */
	uint64_t list_version; /* of the list in rows, 0: none */
	struct pf_vm *rows;    /* of the latest list */
};

int fl_vms_init(
    struct fl_vms *vms, struct bd_board *board, const struct pf_vm_list *list);
void fl_vms_free(struct fl_vms *vms);
int64_t fl_vms_poll(struct fl_vms *vms, int64_t poll_ms, int64_t now_ms);

struct fl_worker_check {
	/* Returns whether the leases of a worker failed; may be NULL. */
	bool (*failed)(void *ctx, uint64_t worker);
	void *ctx;
};

int fl_workers_decide(const struct bd_board *board, uint64_t self,
    int64_t now_ms, const struct fl_worker_check *check,
    const struct st_sink *sink, struct fl_claims *claims);

/*
 * 7. Shares of account limits. Each entry VM always has its floor of a limit;
 * the rest, the pool, is granted in leases. The floors and the pool together
 * never exceed the limit.
 */
#define FL_SHARE_LEASE_MS 3000
/* Two requests fit into one lease, so that one may be lost. */
#define FL_SHARE_REQUEST_INTERVAL_MS 1200
/* The granter treats a lease as longer by this, to tolerate clock drift. */
#define FL_SHARE_MARGIN_PERCENT 10
/* Maximum age of the latest contact with the log at which a granter grants; a
 * long poll is up to 2 s old when it ends, two of them 4 s. */
#define FL_SHARE_CONTACT_MAX_MS 5000

enum fl_limit_kind {
	FL_RATE,
	FL_CONCURRENCY,
	FL_LIMIT_KINDS,
};

/* One value for each kind: requests/s and requests in flight. In a limit of an
 * account 0 means unlimited. */
struct fl_limit {
	uint32_t value[FL_LIMIT_KINDS];
};

uint32_t fl_share_pool(uint32_t limit, uint32_t entry_vms);

/* Holder side. */
/* Requests whose sending time is stored; answers to older ones are ignored. */
#define FL_SHARE_REQUESTS_KEPT 4

/* The limits of one account on this VM. */
struct fl_lease {
	uint64_t account;
	struct fl_limit limit;
	struct fl_limit floor;
	struct fl_limit wanted; /* in the latest request */
	struct fl_limit granted;
	int64_t until_ms; /* end of the grant */
	bool configured;  /* the account is in the configuration */
	bool ambiguous;   /* its short id collides with another account */
	bool changed;     /* not yet written to table share */
};

struct fl_holder {
	uint32_t entry_vms;
	uint32_t count;
	uint64_t sequence; /* of the latest request */
	uint64_t accepted; /* highest sequence with an answer */
	uint64_t base;     /* accepted while its grants are valid, else 0 */
	/* Sending times; a ring indexed by sequence. */
	int64_t requested_ms[FL_SHARE_REQUESTS_KEPT];
	struct fl_lease leases[FL_ACCOUNTS_MAX];
};

void fl_holder_read_limits(
    struct fl_holder *holder, const struct bd_board *board);
bool fl_holder_request(struct fl_holder *holder,
    const struct fl_route_hooks *route, int64_t now_ms,
    struct fl_share_list *request);
int fl_holder_grant(struct fl_holder *holder, const struct fl_share_list *grant,
    int64_t now_ms);
void fl_holder_expire_leases(struct fl_holder *holder, int64_t now_ms);
void fl_holder_discard_grants(struct fl_holder *holder);
int fl_holder_apply(struct fl_holder *holder, struct bd_board *board);

/* Granter side. */
/* Grants stored per requester and account. Answers get lost, so a requester may
 * hold any grant that has not expired. */
#define FL_GRANTS_KEPT 4

struct fl_grant {
	struct fl_limit granted;
	int64_t until_ms; /* end of the lease with its margin */
};

struct fl_requester {
	uint64_t id;          /* incarnation */
	uint64_t sequence;    /* of the latest request */
	int64_t requested_ms; /* arrival of the latest request */
	struct fl_limit wanted[FL_ACCOUNTS_MAX];
	struct fl_limit sent[FL_ACCOUNTS_MAX]; /* in the latest SHARE */
	struct fl_grant grants[FL_ACCOUNTS_MAX][FL_GRANTS_KEPT];
};

struct fl_granter {
	uint64_t epoch;   /* of the duty row, 0: not held */
	int64_t ready_ms; /* no grant before */
	uint32_t account_count;
	uint32_t requester_count;
	uint64_t accounts[FL_ACCOUNTS_MAX];
	struct fl_limit pools[FL_ACCOUNTS_MAX];
	struct fl_requester requesters[FL_MEMBERS_MAX];
};

void fl_granter_update(struct fl_granter *granter, const struct bd_board *board,
    uint64_t self, int64_t now_ms);
bool fl_granter_answer(struct fl_granter *granter, uint64_t requester,
    const struct fl_share_list *request, int64_t confirmed_ms, int64_t now_ms,
    struct fl_share_list *grant);

/*
 * 8. Record relay
 */
#define FL_RELAY_UNREACHABLE_DELAY_MS 500
#define FL_RELAY_TIMEOUT_MS 800
/* A VM that has been behind a member for this long requests records even where
 * the log seems reachable: a log that stops answering is detected late. */
#define FL_RELAY_BEHIND_DELAY_MS 1500
/* A state of twice the target size takes 4 MB. */
#define FL_SNAP_BYTES_MAX ((size_t)16 * 1024 * 1024)

enum fl_relay_mode {
	FL_RELAY_IDLE,
	FL_RELAY_TAIL,
	FL_RELAY_SNAP,
};

struct fl_relay {
	uint32_t mode;    /* enum fl_relay_mode: the answer awaited */
	uint64_t peer;    /* of the latest request */
	uint64_t avoided; /* peer that did not answer or had nothing */
	int64_t requested_ms;
	int64_t behind_since_ms; /* 0: no member is ahead */
	uint64_t behind_position;
	bool needs_snapshot;  /* the peer no longer retains the entries */
	bool start_logged;    /* EV_RELAY_START was emitted */
	uint64_t from;        /* offset of the entry collected in parts */
	uint64_t position;    /* of the snapshot collected in parts */
	size_t total;         /* size of what is collected, bytes */
	size_t received;      /* bytes of it so far */
	unsigned char *parts; /* NULL: nothing is collected */
};

/* State of the log and the tables that fl_relay_decide depends on. */
struct fl_relay_input {
	int64_t unreachable_since_ms; /* -1: the log is reachable */
	uint64_t position;
	uint64_t next_offset; /* of the next log entry to apply */
};

bool fl_relay_decide(struct fl_relay *relay, const struct fl_members *members,
    const struct fl_relay_input *input, int64_t now_ms, struct fl_msg *request,
    int64_t *next_ms);
int fl_relay_tail(struct fl_relay *relay, uint64_t sender,
    const struct fl_tail *tail, const struct fl_state_hooks *state);
int fl_relay_snap(struct fl_relay *relay, uint64_t sender,
    const struct fl_snap *snap, const struct fl_state_hooks *state);
void fl_relay_serve_tail(const struct fl_state_hooks *state,
    const struct fl_tail_get *get, unsigned char *buffer, struct fl_tail *tail);
void fl_relay_free(struct fl_relay *relay);

/*
 * 9. Upstream loads: selection of the changed loads that the next heartbeat
 * carries. The load of an upstream is its requests in flight.
 */
/* Limits this traffic to 640 bytes/s with 8 peers and 4 bytes per load. */
#define FL_LOADS_PER_HEARTBEAT 16

struct fl_load_sent {
	uint64_t upstream;
	uint32_t sent; /* UINT32_MAX: not sent yet */
	uint32_t current;
};

struct fl_loads {
	uint32_t count;
	uint32_t visited; /* upstreams visited in the current pass */
	uint32_t refresh; /* index of the upstream sent last in turn */
	struct fl_load_sent upstreams[FL_LOADS_MAX];
};

void fl_loads_read(struct fl_loads *loads, const struct fl_route_hooks *route);
void fl_loads_fill(struct fl_loads *loads, struct fl_heartbeat *heartbeat);
void fl_loads_resend(struct fl_loads *loads);

/*
 * 10. Counters of control traffic, by message kind; bytes are message bytes,
 * without transport overhead.
 */
struct fl_traffic_counters {
	uint64_t sent_messages[FL_MSG_KIND_LIMIT];
	uint64_t sent_bytes[FL_MSG_KIND_LIMIT];
	/* Part of sent_bytes that went to other regions. */
	uint64_t cross_region_bytes[FL_MSG_KIND_LIMIT];
	uint64_t received_bytes[FL_MSG_KIND_LIMIT];
	uint64_t send_failures; /* messages */
	uint64_t malformed;     /* messages received */
};

void fl_traffic_read(
    struct fl_fleet *fleet, struct fl_traffic_counters *counters);

#ifdef __cplusplus
}
#endif

#endif
