#ifndef CAMPHOR_FRONT_H
#define CAMPHOR_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "config.h"
#include "http_server.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes and errors
 */
enum fr_status {
	FR_ESYNTAX = CW_BASE_FRONT - 1,          /* malformed request or JSON */
	FR_EUNAUTHENTICATED = CW_BASE_FRONT - 2, /* key missing or invalid */
	FR_EFORBIDDEN = CW_BASE_FRONT - 3,
	FR_ENOTFOUND = CW_BASE_FRONT - 4,
	FR_ECONFLICT = CW_BASE_FRONT - 5,
	FR_EINVALID = CW_BASE_FRONT - 6, /* invalid value or configuration */
	FR_EUNAVAILABLE = CW_BASE_FRONT - 7, /* guaranteed to have no effect */
	FR_EUNKNOWN = CW_BASE_FRONT - 8,     /* may have taken effect */
	FR_ENOMEM = CW_BASE_FRONT - 9,
	FR_EINTERNAL = CW_BASE_FRONT - 10,
	FR_ETOOLARGE = CW_BASE_FRONT - 11,
};

const char *fr_status_name(int code);

/* The error of a failed call, as it is returned to the client. */
struct fr_error {
	int code;                /* enum fr_status */
	uint32_t retry_after_ms; /* 0: retrying does not help */
	uint64_t version;        /* current one, on a configuration conflict */
	char field[32];          /* invalid field, "" for none */
	char text[200];
};

int fr_error_set(struct fr_error *error, int code, const char *field,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * 2. Authentication and authorization
 */
enum fr_permission {
	FR_PERMISSION_CALLER,
	FR_PERMISSION_OPERATOR,
	FR_PERMISSION_BOOTSTRAP, /* operators; everybody until configured */
};

struct fr_caller {
	uint64_t account; /* 0: unauthenticated, during bootstrap */
	uint32_t role;    /* enum bd_role */
	uint32_t reserved;
	char name[CW_NAME_BYTES];
};

int fr_auth_check(const struct bd_board *board, const char *account,
    const char *key, enum fr_permission permission, struct fr_caller *caller);

/*
 * 3. The front end and its dependencies. Functions of other packages are
 * supplied as hooks. A hook may be NULL; the calls that need it then return
 * FR_EUNAVAILABLE unless stated otherwise.
 */
struct sch_explanation;
struct fr_events;
struct fr_metric_out;

/* How far this VM has read the replicated log. */
struct fr_log_state {
	uint64_t position; /* of the last applied record */
	int64_t lag_ms;    /* since the end of the log was last reached */
	bool reachable;
};

struct fr_hooks {
	/* Adds an error if the guaranteed shapes cannot be placed on the known
	 * workers. NULL: not checked. */
	int (*guarantee_check)(void *ctx, const struct cfg_config *config,
	    struct cfg_errors *errors);
	void *guarantee_check_ctx;
	int (*explain)(void *ctx, uint64_t job, int64_t now_ms,
	    struct sch_explanation *out);
	void *explain_ctx;
	/* Returns whether this VM can accept requests. NULL: always. */
	bool (*ready)(void *ctx);
	void *ready_ctx;
	/* Starts the graceful shutdown of the daemon. */
	void (*drain)(void *ctx);
	void *drain_ctx;
	/* NULL: the log's metrics are omitted. */
	void (*log_state)(void *ctx, struct fr_log_state *out);
	void *log_state_ctx;
};

/* Emits the metrics of another package. */
struct fr_metric_source {
	void (*collect)(void *ctx, struct fr_metric_out *out);
	void *ctx;
};

#define FR_METRIC_SOURCES_MAX 16

struct fr_options {
	struct bd_board *board;
	struct st_sink sink;
	struct ctl_clock wall;
	struct ctl_clock mono;
	uint64_t self; /* incarnation of this process */
	char vm[CW_NAME_BYTES];
	uint32_t apply_timeout_ms; /* limit for a record to be applied */
	uint32_t waiters_max;      /* concurrent fr_job_wait calls that block */
	struct fr_hooks hooks;
	const struct pf_log *log; /* read for reports, may be NULL */
	struct fr_events *events; /* may be NULL */
	size_t source_count;
	struct fr_metric_source sources[FR_METRIC_SOURCES_MAX];
};

struct fr_front;

void fr_options_default(struct fr_options *options);
int fr_create(struct fr_front **out, const struct fr_options *options);
void fr_destroy(struct fr_front *front);
/* Rejects new jobs and configurations from now on, and ends waiting calls. */
void fr_drain(struct fr_front *front);
bool fr_is_ready(const struct fr_front *front);

/*
 * 4. Jobs. The calls block on the replicated log and must not run on a
 * controller's thread.
 */
struct fr_job {
	struct bd_job row;
	char account[CW_NAME_BYTES];
};

struct fr_job_task {
	uint32_t member;
	uint32_t accel_mask;
	char worker[CW_NAME_BYTES];
	char rack[24];
};

struct fr_job_detail {
	struct fr_job job;
	uint32_t task_count;
	struct fr_job_task tasks[BD_GANG_MEMBERS_MAX];
};

#define FR_JOB_LIST_MAX 1000

struct fr_job_filter {
	uint64_t account; /* 0: all accounts */
	uint64_t after;   /* exclusive lower bound of the ids */
	uint32_t state;   /* enum bd_job_state or FR_JOB_STATE_ANY */
	uint32_t limit;   /* 1 to FR_JOB_LIST_MAX */
};

#define FR_JOB_STATE_ANY UINT32_MAX

struct fr_jobs {
	size_t count;
	struct fr_job *jobs; /* freed by the caller */
	bool more;           /* further jobs match the filter */
};

int fr_job_submit(struct fr_front *front, const struct fr_caller *caller,
    const struct rec_job_submit *submit, uint64_t *id, bool *repeated,
    struct fr_error *error);
int fr_job_get(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct fr_job_detail *out, struct fr_error *error);
int fr_job_list(struct fr_front *front, const struct fr_caller *caller,
    const struct fr_job_filter *filter, struct fr_jobs *out,
    struct fr_error *error);
/* Waits until the job's epoch differs from known_epoch (0: the epoch at the
 * time of the call). */
int fr_job_wait(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, uint64_t known_epoch, uint32_t timeout_ms, bool *busy,
    struct fr_job_detail *out, struct fr_error *error);
int fr_job_cancel(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct fr_error *error);
int fr_job_explain(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct sch_explanation *out, struct fr_error *error);

/*
 * 5. Configuration. A text that is rejected gives FR_EINVALID, with all its
 * errors in errors.
 */
struct fr_config_counts {
	uint32_t accounts;
	uint32_t shapes;
	uint32_t services;
	uint32_t upstreams;
};

int fr_config_check(struct fr_front *front, const char *text, size_t bytes,
    struct fr_config_counts *counts, struct cfg_errors *errors,
    struct fr_error *error);
int fr_config_put(struct fr_front *front, const struct fr_caller *caller,
    uint64_t base, const char *text, size_t bytes, uint64_t *version,
    struct cfg_errors *errors, struct fr_error *error);
/* Copies the row; freed by the caller. */
int fr_config_get(struct fr_front *front, struct bd_config **out);
uint64_t fr_config_version(const struct bd_board *board);
/* Implements the guarantee_check hook; ctx is the board whose workers the
 * shapes are placed on. */
int fr_guarantee_check(
    void *ctx, const struct cfg_config *config, struct cfg_errors *errors);

/*
 * 6. State: the placement of tasks on accelerators, and statistics derived from
 * it. The results depend on the tables only.
 */
/* One accelerator. */
struct fr_accel_state {
	uint64_t account;      /* of the task that runs on it, 0: free */
	uint64_t reserved_for; /* account that it is reserved for, 0: none */
	uint32_t guaranteed;   /* 1: the task runs under a guarantee */
	uint32_t reserved;
};

struct fr_worker_placement {
	struct bd_worker row;
	struct fr_accel_state accels[BD_WORKER_ACCELS_MAX]; /* by accelerator */
};

/* Workers, sorted by region, zone, rack and name. */
struct fr_placement {
	size_t count;
	struct fr_worker_placement *workers;
};

int fr_placement_build(const struct bd_board *board, struct fr_placement *out);
void fr_placement_free(struct fr_placement *placement);

/* Counts are in accelerators unless named otherwise. */
struct fr_account_usage {
	uint64_t id;
	char name[CW_NAME_BYTES];
	uint32_t role;
	uint32_t quota;
	uint32_t weight_milli;
	uint32_t rate_per_s;
	uint32_t concurrency;
	uint32_t guarantee_accels; /* sum of the guarantees */
	uint32_t used_guaranteed;  /* in use under a guarantee */
	uint32_t borrowed;         /* in use beyond the guarantees */
	uint32_t reclaimable; /* borrowed, and reserved for other accounts */
	uint32_t running_jobs;
	uint32_t waiting_jobs;
	uint32_t waiting_accels;
	uint32_t share_rate_per_s;  /* this VM's share of the rate limit */
	uint32_t share_concurrency; /* and of the concurrency limit */
	int64_t short_since_ms;     /* 0: every guarantee has its reservation */
};

/* Sorted by name; freed by the caller. account 0 selects all accounts. */
int fr_account_usage_collect(const struct bd_board *board,
    const struct fr_placement *placement, uint64_t account,
    struct fr_account_usage **out, size_t *count);

/* The two objectives of the scheduler: fragmentation and completion time. */
struct fr_objectives {
	double fragmentation;          /* 0 to 1, see fr_fragmentation */
	uint32_t free_accels;          /* on usable workers */
	uint32_t largest_free_in_rack; /* on wholly free workers of one rack */
	uint32_t done_jobs;            /* in state done and still retained */
	int64_t completion_mean_ms;    /* from submission to end */
	int64_t completion_p50_ms;
	int64_t completion_p99_ms;
};

double fr_fragmentation(const struct fr_placement *placement,
    uint32_t *free_accels, uint32_t *largest_free_in_rack);
int fr_objectives_compute(const struct bd_board *board,
    const struct fr_placement *placement, struct fr_objectives *out);

/*
 * 7. Events: an event sink that keeps the latest events in a ring buffer. Each
 * event number is limited to FR_EVENT_BURST events per FR_EVENT_WINDOW_MS;
 * further ones are suppressed, and their count is written after the window.
 */
#define FR_EVENT_BURST 10
#define FR_EVENT_WINDOW_MS 10000
#define FR_EVENT_LINE_BYTES 320
#define FR_EVENT_RING_MAX 1024

struct fr_event {
	uint64_t sequence; /* 1 for the first */
	int64_t time_ms;
	uint32_t number; /* enum ev_number */
	uint32_t level;  /* enum ev_level */
	char line[FR_EVENT_LINE_BYTES];
};

/* forward, which may be NULL, receives every event that is written. */
int fr_events_create(struct fr_events **out, const struct ev_sink *forward,
    const struct ctl_clock *wall);
void fr_events_destroy(struct fr_events *events);
const struct ev_sink *fr_events_sink(struct fr_events *events);
/* A step function for ctl_start: writes the counts of suppressed events of
 * windows that have ended. */
int64_t fr_events_step(void *ctx, int64_t now_ms);
size_t fr_events_read(struct fr_events *events, uint64_t after,
    struct fr_event *out, size_t count_max, uint64_t *lost, uint64_t *next);
uint64_t fr_events_suppressed(struct fr_events *events);
const char *fr_event_name(uint32_t number);
const char *fr_event_level_name(uint32_t level);

/*
 * 8. Metrics. Samples of the same name must be emitted consecutively.
 */
enum fr_metric_kind {
	FR_METRIC_COUNTER,
	FR_METRIC_GAUGE,
	FR_METRIC_SUMMARY,
};

#define FR_METRIC_LABELS_MAX 4

struct fr_metric {
	const char *name; /* without prefix */
	const char *help;
	enum fr_metric_kind kind;
	uint32_t label_count;
	struct {
		const char *name;
		const char *value;
	} labels[FR_METRIC_LABELS_MAX];
	double value;            /* of counters and gauges */
	const struct hist *hist; /* of summaries */
	double scale;            /* factor for the values of hist; 0 means 1 */
};

struct fr_metric_out {
	void (*emit)(void *ctx, const struct fr_metric *metric);
	void *ctx;
	const struct bd_board *board; /* to look up names, set by the front */
};

void fr_metric_emit_value(struct fr_metric_out *out, const char *name,
    const char *help, enum fr_metric_kind kind, double value);
void fr_metrics_collect(struct fr_front *front, struct fr_metric_out *out);
/* Metric sources of the other packages; each object must outlive the front. */
struct rt_router;
struct fl_fleet;
struct fr_metric_source fr_metric_source_route(struct rt_router *route);
struct fr_metric_source fr_metric_source_fleet(struct fl_fleet *fleet);
struct fr_metric_source fr_metric_source_writer(struct st_writer *writer);
struct fr_metric_source fr_metric_source_follower(struct st_follower *follower);
/* These return text that the caller frees, or NULL if out of memory. */
char *fr_metrics_text(struct fr_front *front, size_t *bytes);
char *fr_metrics_json(struct fr_front *front, size_t *bytes);
char *fr_status_page(struct fr_front *front, size_t *bytes);

/*
 * 9. HTTP. fr_serve handles one request; fr_routes lists the routes that the
 * server must register.
 */
struct fr_call {
	const struct lk_http_request *request;
	const char *account; /* values of headers, NULL if missing */
	const char *key;
	const char *idempotency_key;
};

void fr_serve(struct fr_front *front, const struct fr_call *call,
    struct lk_http_response *response);
size_t fr_routes(
    struct fr_front *front, struct lk_http_route *out, size_t count_max);
/* Responds with an error in the format that all calls share. */
void fr_respond_error(
    struct lk_http_response *response, const struct fr_error *error);

#ifdef __cplusplus
}
#endif

#endif
