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
	FR_ESYNTAX = CW_BASE_FRONT - 1, /* request or JSON cannot be read */
	FR_ENOKEY = CW_BASE_FRONT - 2,  /* no key, or a wrong one */
	FR_EFORBIDDEN = CW_BASE_FRONT - 3,
	FR_ENOTFOUND = CW_BASE_FRONT - 4,
	FR_ECONFLICT = CW_BASE_FRONT - 5,
	FR_EINVALID = CW_BASE_FRONT - 6,     /* a value, or a refused text */
	FR_EUNAVAILABLE = CW_BASE_FRONT - 7, /* had and will have no effect */
	FR_EUNKNOWN = CW_BASE_FRONT - 8,     /* had an effect perhaps */
	FR_ENOMEM = CW_BASE_FRONT - 9,
	FR_EINTERNAL = CW_BASE_FRONT - 10,
	FR_ETOOLARGE = CW_BASE_FRONT - 11,
};

const char *fr_status_name(int code);

/* What a caller is told of a failed call. */
struct fr_error {
	int code;                /* enum fr_status */
	uint32_t retry_after_ms; /* 0: a repeat does not help */
	uint64_t version;        /* in force, with a configuration conflict */
	char field[32];          /* at fault, "" for none */
	char text[200];
};

int fr_error_set(struct fr_error *error, int code, const char *field,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * 2. Who asks
 */
enum fr_right {
	FR_RIGHT_CALLER,
	FR_RIGHT_OPERATOR,
	FR_RIGHT_BOOTSTRAP, /* operator, or anybody while there is no text */
};

struct fr_caller {
	uint64_t account; /* 0: bootstrap */
	uint32_t role;    /* enum bd_role */
	uint32_t reserved;
	char name[CW_NAME_BYTES];
};

int fr_auth_check(const struct bd_board *board, const char *account,
    const char *key, enum fr_right right, struct fr_caller *caller);

/*
 * 3. The interface that the calls work on. What other packages give comes
 * through hooks; each may be NULL, and its calls then answer FR_EUNAVAILABLE
 * unless said otherwise.
 */
struct sch_explanation;
struct fr_events;
struct fr_metric_out;

/* Where this VM stands in the log. */
struct fr_log_state {
	uint64_t position;
	int64_t lag_ms; /* since the end of the log was last seen */
	bool reachable;
};

struct fr_hooks {
	/* Adds an error for each guaranteed shape that does not fit the known
	 * workers. NULL: not checked. */
	int (*fit)(
	    void *ctx, const struct cfg_text *text, struct cfg_errors *errors);
	void *fit_ctx;
	int (*explain)(void *ctx, uint64_t job, int64_t now_ms,
	    struct sch_explanation *out);
	void *explain_ctx;
	/* Tells whether this VM is ready for work. NULL: it is. */
	bool (*ready)(void *ctx);
	void *ready_ctx;
	/* Starts the graceful shutdown of the daemon. */
	void (*drain)(void *ctx);
	void *drain_ctx;
	/* NULL: not shown. */
	void (*log_state)(void *ctx, struct fr_log_state *out);
	void *log_state_ctx;
};

/* Adds metrics of another package. */
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
	uint64_t self; /* incarnation */
	char vm[CW_NAME_BYTES];
	uint32_t apply_wait_ms; /* longest wait for a record's status */
	uint32_t waiters_max;   /* calls that wait for a job at a time */
	struct fr_hooks hooks;
	const struct pf_log *log; /* for reports, may be NULL */
	struct fr_events *events; /* may be NULL */
	size_t source_count;
	struct fr_metric_source sources[FR_METRIC_SOURCES_MAX];
};

struct fr_front;

void fr_options_default(struct fr_options *options);
int fr_create(struct fr_front **out, const struct fr_options *options);
void fr_destroy(struct fr_front *front);
/* From now on nothing new is accepted and waiting calls return. */
void fr_drain(struct fr_front *front);
bool fr_is_ready(const struct fr_front *front);

/*
 * 4. Calls on jobs. They wait for the log and must not run on a controller's
 * thread.
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
	uint64_t account; /* 0: of all accounts */
	uint64_t after;   /* only higher ids */
	uint32_t state;   /* enum bd_job_state, FR_ANY_STATE */
	uint32_t limit;   /* 1 to FR_JOB_LIST_MAX */
};

#define FR_ANY_STATE UINT32_MAX

struct fr_jobs {
	size_t count;
	struct fr_job *jobs; /* freed by the caller */
	bool more;
};

int fr_job_submit(struct fr_front *front, const struct fr_caller *caller,
    const struct rec_job_submit *submit, uint64_t *id, bool *repeated,
    struct fr_error *error);
int fr_job_get(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct fr_job_detail *out, struct fr_error *error);
int fr_job_list(struct fr_front *front, const struct fr_caller *caller,
    const struct fr_job_filter *filter, struct fr_jobs *out,
    struct fr_error *error);
/* Waits until the epoch of the job differs from seen (0: its epoch now). */
int fr_job_wait(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, uint64_t seen, uint32_t timeout_ms, bool *busy,
    struct fr_job_detail *out, struct fr_error *error);
int fr_job_cancel(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct fr_error *error);
int fr_job_explain(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct sch_explanation *out, struct fr_error *error);

/*
 * 5. Calls on the configuration. A refused text gives FR_EINVALID, with what
 * is wrong in errors.
 */
struct fr_text_sizes {
	uint32_t accounts;
	uint32_t shapes;
	uint32_t services;
	uint32_t runners;
};

int fr_config_check(struct fr_front *front, const char *text, size_t bytes,
    struct fr_text_sizes *sizes, struct cfg_errors *errors,
    struct fr_error *error);
int fr_config_put(struct fr_front *front, const struct fr_caller *caller,
    uint64_t base, const char *text, size_t bytes, uint64_t *version,
    struct cfg_errors *errors, struct fr_error *error);
/* A copy of the row, freed by the caller. */
int fr_config_get(struct fr_front *front, struct bd_config **out);
uint64_t fr_config_version(const struct bd_board *board);
/* A fit hook over the workers of a board, which is its ctx. */
int fr_fit_check(
    void *ctx, const struct cfg_text *text, struct cfg_errors *errors);

/*
 * 6. State: the placement as cells, and what follows from it. These functions
 * are pure functions of the tables.
 */
struct fr_cell {
	uint64_t account; /* of the task there, 0: free */
	uint64_t planned; /* account that the cell is promised to, 0: none */
	uint32_t guaranteed;
	uint32_t reserved;
};

struct fr_cell_worker {
	struct bd_worker row;
	struct fr_cell cells[BD_WORKER_ACCELS_MAX];
};

/* In the order of region, zone, rack and name. */
struct fr_cells {
	size_t count;
	struct fr_cell_worker *workers;
};

int fr_cells_build(const struct bd_board *board, struct fr_cells *out);
void fr_cells_free(struct fr_cells *cells);

/* Numbers of accelerators unless named otherwise. */
struct fr_account_use {
	uint64_t id;
	char name[CW_NAME_BYTES];
	uint32_t role;
	uint32_t quota;
	uint32_t weight_milli;
	uint32_t rate_per_s;
	uint32_t concurrency;
	uint32_t promised;
	uint32_t used_guaranteed;
	uint32_t borrowed;
	uint32_t reclaimable; /* borrowed from plans of other accounts */
	uint32_t running_jobs;
	uint32_t waiting_jobs;
	uint32_t waiting_accels;
	uint32_t share_rate_per_s;
	uint32_t share_concurrency;
	int64_t short_since_ms; /* 0: every promise is planned */
};

/* Sorted by name; freed by the caller. account 0 gives all. */
int fr_account_uses(const struct bd_board *board, const struct fr_cells *cells,
    uint64_t account, struct fr_account_use **out, size_t *count);

/* The users' two measures. */
struct fr_measures {
	double fragmentation;       /* 0 to 1, of the free accelerators */
	uint32_t free_accels;       /* on usable workers */
	uint32_t largest_in_rack;   /* free, on wholly free workers of a rack */
	uint32_t ended_jobs;        /* done, that are still kept */
	int64_t completion_mean_ms; /* from submit to end */
	int64_t completion_p50_ms;
	int64_t completion_p99_ms;
};

double fr_fragmentation(const struct fr_cells *cells, uint32_t *free_accels,
    uint32_t *largest_in_rack);
int fr_measure(const struct bd_board *board, const struct fr_cells *cells,
    struct fr_measures *out);

/*
 * 7. Events: a bounded ring of the latest ones, which is a sink of events. Of
 * one number at most FR_EVENT_BURST are written in FR_EVENT_WINDOW_MS; the
 * rest are counted and the count is written.
 */
#define FR_EVENT_BURST 10
#define FR_EVENT_WINDOW_MS 10000
#define FR_EVENT_LINE_BYTES 320
#define FR_EVENT_RING_MAX 1024

struct fr_event {
	uint64_t sequence; /* 1 for the first */
	int64_t time_ms;
	uint32_t number;
	uint32_t level;
	char line[FR_EVENT_LINE_BYTES];
};

/* forward, which may be NULL, gets every event that is written. */
int fr_events_create(struct fr_events **out, const struct ev_sink *forward,
    const struct ctl_clock *wall);
void fr_events_destroy(struct fr_events *events);
const struct ev_sink *fr_events_sink(struct fr_events *events);
/* For ctl_start: writes the counts of windows that have ended. */
int64_t fr_events_step(void *ctx, int64_t now_ms);
size_t fr_events_read(struct fr_events *events, uint64_t after,
    struct fr_event *out, size_t count_max, uint64_t *lost, uint64_t *next);
uint64_t fr_events_suppressed(struct fr_events *events);
const char *fr_event_name(uint32_t number);
const char *fr_event_level_name(uint32_t level);

/*
 * 8. Metrics. Samples of one name must follow each other.
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
	double scale;            /* of the values of hist; 0: 1 */
};

struct fr_metric_out {
	void (*emit)(void *ctx, const struct fr_metric *metric);
	void *ctx;
	const struct bd_board *board; /* for names, set by the front */
};

void fr_metric_value(struct fr_metric_out *out, const char *name,
    const char *help, enum fr_metric_kind kind, double value);
void fr_metrics_collect(struct fr_front *front, struct fr_metric_out *out);
/* Sources over the other packages; each object must outlive the front. */
struct rt_route;
struct fl_fleet;
struct fr_metric_source fr_source_route(struct rt_route *route);
struct fr_metric_source fr_source_fleet(struct fl_fleet *fleet);
struct fr_metric_source fr_source_writer(struct st_writer *writer);
struct fr_metric_source fr_source_follower(struct st_follower *follower);
/* Both return text that the caller frees, NULL where memory is short. */
char *fr_metrics_text(struct fr_front *front, size_t *bytes);
char *fr_metrics_json(struct fr_front *front, size_t *bytes);
char *fr_status_page(struct fr_front *front, size_t *bytes);

/*
 * 9. HTTP. fr_serve answers one request; fr_routes lists what a server needs
 * to send it here.
 */
struct fr_call {
	const struct lk_http_request *request;
	const char *account; /* headers, NULL where missing */
	const char *key;
	const char *idempotency_key;
};

void fr_serve(struct fr_front *front, const struct fr_call *call,
    struct lk_http_response *response);
size_t fr_routes(
    struct fr_front *front, struct lk_http_route *out, size_t count_max);
/* Answers an error in the form that all calls share. */
void fr_reply_error(
    struct lk_http_response *response, const struct fr_error *error);

#ifdef __cplusplus
}
#endif

#endif
