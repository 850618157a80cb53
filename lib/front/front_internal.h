#ifndef CAMPHOR_FRONT_INTERNAL_H
#define CAMPHOR_FRONT_INTERNAL_H

#include <stdatomic.h>
#include <stdio.h>

#include <jansson.h>

#include "front.h"

#define FR_JOB_BODY_BYTES_MAX (16 * 1024)
#define FR_WAIT_MS_MAX 30000
#define FR_WAIT_MS_DEFAULT 10000
/* Interval at which a waiting call checks for a shutdown. */
#define FR_WAIT_POLL_MS 500

enum fr_call_kind {
	FR_CALL_JOBS,
	FR_CALL_CONFIG,
	FR_CALL_STATE,
	FR_CALL_MONITOR,
	FR_CALL_KIND_COUNT,
};

/* Responses by the first digit of their status, and durations of the handlers
 * in us. */
struct fr_counters {
	atomic_uint_least64_t responses[FR_CALL_KIND_COUNT][6];
	struct hist handler_us[FR_CALL_KIND_COUNT];
};

struct fr_front {
	struct fr_options options;
	atomic_uint waiters;
	atomic_bool draining;
	atomic_flag report_in_progress; /* at most one at a time */
	struct fr_counters counters;
};

/* propose.c */
int fr_propose(struct fr_front *front, const struct rec *rec,
    uint64_t *position, struct fr_error *error, int *state_code);

/* json_read.c: reads typed fields of an object. The functions return CW_OK, or
 * set an error that names the field. */
struct fr_json_number_spec {
	const char *field;
	bool required;
	int64_t fallback;
	int64_t min;
	int64_t max;
};

int fr_json_load(
    const void *data, size_t bytes, json_t **out, struct fr_error *error);
int fr_json_reject_unknown(json_t *object, const char *const *fields,
    size_t count, struct fr_error *error);
int fr_json_int(json_t *object, const struct fr_json_number_spec *spec,
    int64_t *out, struct fr_error *error);
int fr_json_milli(json_t *object, const struct fr_json_number_spec *spec,
    int64_t *out, struct fr_error *error);
int fr_json_string(json_t *object, const char *field, bool required, char *out,
    size_t out_bytes, struct fr_error *error);
int fr_json_bool(
    json_t *object, const char *field, uint32_t *out, struct fr_error *error);

#define FR_JSON_STRING_BYTES 512
json_t *fr_json_utf8(const char *text);

/* json_job.c, json_state.c, json_explain.c: decoders of requests and encoders
 * of responses. Encoders return a new reference, or NULL if out of memory. */
int fr_json_submit_decode(const void *data, size_t bytes,
    struct rec_job_submit *out, struct fr_error *error);
json_t *fr_json_job(const struct fr_job *job);
json_t *fr_json_job_detail(const struct fr_job_detail *detail);
json_t *fr_json_job_list(const struct fr_jobs *list);
json_t *fr_json_error(const struct fr_error *error);
json_t *fr_json_config_errors(
    const struct fr_error *error, const struct cfg_errors *errors);
json_t *fr_json_config(const struct bd_config *config);
json_t *fr_json_accounts(const struct fr_account_usage *usage, size_t count);
json_t *fr_json_workers(const struct bd_board *board);
json_t *fr_json_upstreams(const struct bd_board *board);
json_t *fr_json_members(const struct bd_board *board, int64_t wall_offset_ms);
struct rp_report;
json_t *fr_json_history(const struct rp_report *report);
json_t *fr_json_events(
    const struct fr_event *events, size_t count, uint64_t lost, uint64_t next);
json_t *fr_json_explanation(const struct sch_explanation *explanation,
    const struct fr_caller *caller, int64_t now_ms);

/* Unsigned values of the tables stay below 2^63. */
static inline json_t *
fr_json_u64(uint64_t value)
{
	return json_integer((json_int_t)(value & INT64_MAX));
}

/* http_*.c: one handler for each route. A handler that fails sets the error and
 * returns its code; the caller then sends the error response. */
struct fr_exchange {
	struct fr_front *front;
	const struct fr_call *call;
	struct fr_caller caller;
	uint64_t id; /* from the path */
	struct lk_http_response *response;
	struct fr_error *error;
};

int fr_http_job_submit(struct fr_exchange *exchange);
int fr_http_job_list(struct fr_exchange *exchange);
int fr_http_job_get(struct fr_exchange *exchange);
int fr_http_job_wait(struct fr_exchange *exchange);
int fr_http_job_cancel(struct fr_exchange *exchange);
int fr_http_job_explain(struct fr_exchange *exchange);
int fr_http_config_put(struct fr_exchange *exchange);
int fr_http_config_check(struct fr_exchange *exchange);
int fr_http_config_get(struct fr_exchange *exchange);
int fr_http_config_version(struct fr_exchange *exchange);
int fr_http_config_history(struct fr_exchange *exchange);
int fr_http_report(struct fr_exchange *exchange);
int fr_http_accounts(struct fr_exchange *exchange);
int fr_http_workers(struct fr_exchange *exchange);
int fr_http_upstreams(struct fr_exchange *exchange);
int fr_http_members(struct fr_exchange *exchange);
int fr_http_events(struct fr_exchange *exchange);
int fr_http_drain(struct fr_exchange *exchange);
int fr_http_ready(struct fr_exchange *exchange);
int fr_http_metrics(struct fr_exchange *exchange);
int fr_http_metrics_json(struct fr_exchange *exchange);
int fr_http_status(struct fr_exchange *exchange);

int fr_respond_json(struct fr_exchange *exchange, int status, json_t *json);
int fr_respond_text(struct fr_exchange *exchange, const char *content_type,
    char *text, size_t bytes);
int fr_query_u64(const struct fr_exchange *exchange, const char *name,
    uint64_t fallback, uint64_t max, uint64_t *out);
int fr_query_string(const struct fr_exchange *exchange, const char *name,
    char *out, size_t bytes);

#endif
