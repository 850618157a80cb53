#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

/* In place of a permission: the route needs no authentication. */
#define PERMISSION_NONE (-1)

struct route {
	const char *method;
	const char *path; /* "#" stands for an id */
	size_t body_bytes_max;
	int permission; /* enum fr_permission or PERMISSION_NONE */
	enum fr_call_kind kind;
	int (*handle)(struct fr_exchange *exchange);
};

/* Limit for routes that ignore the body. */
#define IGNORED_BODY_BYTES_MAX 1024
#define CONFIG_BODY_BYTES_MAX REC_CONFIG_TEXT_BYTES_MAX

static const struct route routes[] = {
    {"POST", "/v1/jobs", FR_JOB_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_JOBS, fr_http_job_submit},
    {"GET", "/v1/jobs", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_JOBS, fr_http_job_list},
    {"GET", "/v1/jobs/#", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_JOBS, fr_http_job_get},
    {"GET", "/v1/jobs/#/wait", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_JOBS, fr_http_job_wait},
    {"GET", "/v1/jobs/#/explain", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_JOBS, fr_http_job_explain},
    {"DELETE", "/v1/jobs/#", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_JOBS, fr_http_job_cancel},
    {"PUT", "/v1/config", CONFIG_BODY_BYTES_MAX, FR_PERMISSION_BOOTSTRAP,
	FR_CALL_CONFIG, fr_http_config_put},
    {"POST", "/v1/config/check", CONFIG_BODY_BYTES_MAX, FR_PERMISSION_BOOTSTRAP,
	FR_CALL_CONFIG, fr_http_config_check},
    {"GET", "/v1/config", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_OPERATOR,
	FR_CALL_CONFIG, fr_http_config_get},
    {"GET", "/v1/config/version", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_CONFIG, fr_http_config_version},
    {"GET", "/v1/config/history", IGNORED_BODY_BYTES_MAX,
	FR_PERMISSION_OPERATOR, FR_CALL_CONFIG, fr_http_config_history},
    {"GET", "/v1/accounts", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_CALLER,
	FR_CALL_STATE, fr_http_accounts},
    {"GET", "/v1/workers", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_OPERATOR,
	FR_CALL_STATE, fr_http_workers},
    {"GET", "/v1/upstreams", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_OPERATOR,
	FR_CALL_STATE, fr_http_upstreams},
    {"GET", "/v1/members", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_OPERATOR,
	FR_CALL_STATE, fr_http_members},
    {"GET", "/v1/events", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_OPERATOR,
	FR_CALL_STATE, fr_http_events},
    {"GET", "/v1/report", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_OPERATOR,
	FR_CALL_STATE, fr_http_report},
    {"POST", "/v1/drain", IGNORED_BODY_BYTES_MAX, FR_PERMISSION_OPERATOR,
	FR_CALL_STATE, fr_http_drain},
    {"GET", "/ready", IGNORED_BODY_BYTES_MAX, PERMISSION_NONE, FR_CALL_MONITOR,
	fr_http_ready},
    {"GET", "/metrics", IGNORED_BODY_BYTES_MAX, PERMISSION_NONE,
	FR_CALL_MONITOR, fr_http_metrics},
    {"GET", "/metrics.json", IGNORED_BODY_BYTES_MAX, PERMISSION_NONE,
	FR_CALL_MONITOR, fr_http_metrics_json},
    {"GET", "/status", IGNORED_BODY_BYTES_MAX, PERMISSION_NONE, FR_CALL_MONITOR,
	fr_http_status},
};

#define ROUTE_COUNT (sizeof(routes) / sizeof(*routes))

static bool match_path(const char *pattern, const char *path, uint64_t *id);
static const struct route *find_route(
    const struct lk_http_request *request, uint64_t *id, bool *path_known);
static int http_status(int code);
static int authenticate(struct fr_exchange *exchange, int permission);
static int dispatch(struct fr_exchange *exchange, const struct route *route);
static void handle_request(void *ctx, const struct lk_http_request *request,
    struct lk_http_response *response);

static bool
match_path(const char *pattern, const char *path, uint64_t *id)
{
	char *end;

	while (*pattern != '\0') {
		if (*pattern != '#') {
			if (*pattern++ != *path++)
				return false;
			continue;
		}
		if (*path < '1' || *path > '9')
			return false;
		errno = 0;
		*id = strtoull(path, &end, 10);
		if (errno != 0 || *id > INT64_MAX)
			return false;
		path = end;
		pattern++;
	}
	return *path == '\0';
}

static const struct route *
find_route(
    const struct lk_http_request *request, uint64_t *id, bool *path_known)
{
	size_t i;

	*path_known = false;
	for (i = 0; i < ROUTE_COUNT; i++) {
		if (!match_path(routes[i].path, request->path, id))
			continue;
		*path_known = true;
		if (strcmp(routes[i].method, request->method) == 0)
			return &routes[i];
	}
	return NULL;
}

static int
http_status(int code)
{
	switch (code) {
	case FR_ESYNTAX:
		return 400;
	case FR_EUNAUTHENTICATED:
		return 401;
	case FR_EFORBIDDEN:
		return 403;
	case FR_ENOTFOUND:
		return 404;
	case FR_ECONFLICT:
		return 409;
	case FR_ETOOLARGE:
		return 413;
	case FR_EINVALID:
		return 422;
	case FR_EUNAVAILABLE:
	case FR_ENOMEM:
		return 503;
	case FR_EUNKNOWN:
		return 504;
	default:
		return 500;
	}
}

/* Responds with an error in the format of docs/api.md. */
void
fr_respond_error(
    struct lk_http_response *response, const struct fr_error *error)
{
	json_t *json = fr_json_error(error);
	char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);
	char seconds[16];

	json_decref(json);
	if (error->retry_after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%u",
		    (error->retry_after_ms + 999) / 1000);
		lk_http_response_header_add(response, "Retry-After", seconds);
	}
	if (text == NULL)
		lk_http_response_static(response, http_status(error->code), "");
	else
		lk_http_response_take(response, http_status(error->code), text,
		    strlen(text), free);
}

/* Responds with a JSON value and releases the reference. Returns FR_ENOMEM if
 * json is NULL or cannot be encoded. */
int
fr_respond_json(struct fr_exchange *exchange, int status, json_t *json)
{
	char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);

	json_decref(json);
	if (text == NULL)
		return fr_error_set(exchange->error, FR_ENOMEM, NULL,
		    "no memory for the answer");
	lk_http_response_take(
	    exchange->response, status, text, strlen(text), free);
	return CW_OK;
}

/* Responds 200 with a text, which the server frees. Returns FR_ENOMEM if text
 * is NULL. */
int
fr_respond_text(struct fr_exchange *exchange, const char *content_type,
    char *text, size_t bytes)
{
	if (text == NULL)
		return fr_error_set(exchange->error, FR_ENOMEM, NULL,
		    "no memory for the answer");
	lk_http_response_type_set(exchange->response, content_type);
	lk_http_response_take(exchange->response, 200, text, bytes, free);
	return CW_OK;
}

/* Copies a query parameter, "" if it is missing. Returns FR_ESYNTAX if it is
 * longer than out. */
int
fr_query_string(const struct fr_exchange *exchange, const char *name, char *out,
    size_t bytes)
{
	const struct lk_http_request *request = exchange->call->request;
	size_t length = strlen(name);
	const char *at = request->query;

	*out = '\0';
	if (lk_http_request_query(request, name, out, bytes))
		return CW_OK;
	*out = '\0';
	/* lk_http_request_query does not distinguish a missing parameter from
	 * one that is too long. */
	while ((at = strstr(at, name)) != NULL) {
		if ((at == request->query || at[-1] == '&') &&
		    at[length] == '=')
			return fr_error_set(exchange->error, FR_ESYNTAX, name,
			    "parameter \"%s\" is too long", name);
		at += length;
	}
	return CW_OK;
}

/* Reads a decimal query parameter; fallback if it is missing. Returns
 * FR_ESYNTAX if it is no number or above max. */
int
fr_query_u64(const struct fr_exchange *exchange, const char *name,
    uint64_t fallback, uint64_t max, uint64_t *out)
{
	char text[24];
	char *end;
	int code = fr_query_string(exchange, name, text, sizeof(text));

	*out = fallback;
	if (code != CW_OK || text[0] == '\0')
		return code;
	errno = 0;
	*out = strtoull(text, &end, 10);
	if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0 ||
	    *out > max)
		return fr_error_set(exchange->error, FR_ESYNTAX, name,
		    "parameter \"%s\" must be a number up to %llu", name,
		    (unsigned long long)max);
	return CW_OK;
}

static int
authenticate(struct fr_exchange *exchange, int permission)
{
	const struct fr_call *call = exchange->call;
	int code;

	if (permission == PERMISSION_NONE)
		return CW_OK;
	code = fr_auth_check(exchange->front->options.board, call->account,
	    call->key, (enum fr_permission)permission, &exchange->caller);
	if (code == CW_OK)
		return CW_OK;
	if (code == FR_EUNAUTHENTICATED && call->key != NULL)
		ev_emit(EV_FRONT_KEY_REFUSED, "remote=%s path=%s",
		    call->request->remote == NULL ? "" : call->request->remote,
		    call->request->path);
	return fr_error_set(exchange->error, code, NULL, "%s", cw_error_last());
}

static int
dispatch(struct fr_exchange *exchange, const struct route *route)
{
	int code = authenticate(exchange, route->permission);

	if (code != CW_OK)
		return code;
	if (exchange->call->request->body_bytes > route->body_bytes_max)
		return fr_error_set(exchange->error, FR_ETOOLARGE, NULL,
		    "the body is longer than %zu bytes", route->body_bytes_max);
	return route->handle(exchange);
}

/* Handles one request. The duration is bounded by that of the calls to the log
 * and by the wait that the client asks for. */
void
fr_serve(struct fr_front *front, const struct fr_call *call,
    struct lk_http_response *response)
{
	struct fr_error error = {0};
	struct fr_exchange exchange = {
	    .front = front,
	    .call = call,
	    .response = response,
	    .error = &error,
	};
	int64_t started_us = cw_clock_mono_us();
	const struct route *route;
	bool path_known;
	int code;

	assert(front != NULL && call != NULL && response != NULL);
	route = find_route(call->request, &exchange.id, &path_known);
	if (route == NULL) {
		fr_error_set(&error, FR_ENOTFOUND, NULL, "%s",
		    path_known ? "method is not allowed here" : "no such path");
		fr_respond_error(response, &error);
		if (path_known)
			response->status = 405;
		return;
	}
	code = dispatch(&exchange, route);
	if (code != CW_OK)
		fr_respond_error(response, &error);
	if (code == FR_EINTERNAL)
		ev_emit(EV_FRONT_FAULT, "path=%s error=\"%s\"",
		    call->request->path, error.text);
	atomic_fetch_add_explicit(
	    &front->counters.responses[route->kind][response->status / 100 % 6],
	    1, memory_order_relaxed);
	hist_record(&front->counters.handler_us[route->kind],
	    (uint64_t)(cw_clock_mono_us() - started_us));
}

static void
handle_request(void *ctx, const struct lk_http_request *request,
    struct lk_http_response *response)
{
	struct fr_call call = {
	    .request = request,
	    .account = lk_http_request_header(request, "X-Account"),
	    .key = lk_http_request_header(request, "X-Account-Key"),
	    .idempotency_key =
		lk_http_request_header(request, "Idempotency-Key"),
	};

	fr_serve(ctx, &call, response);
}

/* Lists the methods and path prefixes that a server must route to this handler,
 * each with its largest body. Returns their number. */
size_t
fr_routes(struct fr_front *front, struct lk_http_route *out, size_t count_max)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < ROUTE_COUNT; i++) {
		struct lk_http_route *route;

		/* As a prefix, GET /v1/jobs covers the GET paths with an id.
		 * DELETE has no path without an id. */
		if (strchr(routes[i].path, '#') != NULL &&
		    strcmp(routes[i].method, "DELETE") != 0)
			continue;
		assert(count < count_max);
		route = &out[count++];
		route->method = routes[i].method;
		route->prefix = strchr(routes[i].path, '#') == NULL
		    ? routes[i].path
		    : "/v1/jobs/";
		route->body_bytes_max = routes[i].body_bytes_max;
		route->handle = handle_request;
		route->ctx = front;
	}
	return count;
}
