#include <stdlib.h>

#include "front_internal.h"

/* GET /v1/accounts */
int
fr_http_accounts(struct fr_exchange *exchange)
{
	const struct bd_board *board = exchange->front->options.board;
	const struct fr_caller *caller = &exchange->caller;
	struct fr_account_usage *usage = NULL;
	struct fr_placement placement;
	size_t count = 0;
	int code;

	code = fr_placement_build(board, &placement);
	if (code == CW_OK)
		code = fr_account_usage_collect(board, &placement,
		    caller->role == BD_ROLE_OPERATOR ? 0 : caller->account,
		    &usage, &count);
	fr_placement_free(&placement);
	if (code != CW_OK)
		return fr_error_set(exchange->error, FR_ENOMEM, NULL,
		    "no memory for the accounts");
	code = fr_respond_json(exchange, 200, fr_json_accounts(usage, count));
	free(usage);
	return code;
}

/* GET /v1/workers */
int
fr_http_workers(struct fr_exchange *exchange)
{
	return fr_respond_json(
	    exchange, 200, fr_json_workers(exchange->front->options.board));
}

/* GET /v1/upstreams */
int
fr_http_upstreams(struct fr_exchange *exchange)
{
	return fr_respond_json(
	    exchange, 200, fr_json_upstreams(exchange->front->options.board));
}

/* GET /v1/members */
int
fr_http_members(struct fr_exchange *exchange)
{
	const struct fr_options *options = &exchange->front->options;
	int64_t offset_ms = options->wall.now_ms(options->wall.ctx) -
	    options->mono.now_ms(options->mono.ctx);

	return fr_respond_json(
	    exchange, 200, fr_json_members(options->board, offset_ms));
}

/* GET /v1/events */
int
fr_http_events(struct fr_exchange *exchange)
{
	struct fr_events *ring = exchange->front->options.events;
	struct fr_event *events;
	uint64_t after;
	uint64_t limit;
	uint64_t lost = 0;
	uint64_t next = 0;
	size_t count = 0;
	int code;

	code = fr_query_u64(exchange, "after", 0, INT64_MAX, &after);
	if (code == CW_OK)
		code = fr_query_u64(
		    exchange, "limit", 200, FR_EVENT_RING_MAX, &limit);
	if (code != CW_OK)
		return code;
	events = calloc(limit + 1, sizeof(*events));
	if (events == NULL)
		return fr_error_set(exchange->error, FR_ENOMEM, NULL,
		    "no memory for the events");
	if (ring != NULL)
		count =
		    fr_events_read(ring, after, events, limit, &lost, &next);
	code = fr_respond_json(
	    exchange, 200, fr_json_events(events, count, lost, next));
	free(events);
	return code;
}

/* POST /v1/drain */
int
fr_http_drain(struct fr_exchange *exchange)
{
	const struct fr_hooks *hooks = &exchange->front->options.hooks;

	ev_emit(EV_FRONT_DRAIN, "account=%s", exchange->caller.name);
	fr_drain(exchange->front);
	if (hooks->drain != NULL)
		hooks->drain(hooks->drain_ctx);
	return fr_respond_json(exchange, 202, json_pack("{sb}", "draining", 1));
}

/* GET /ready */
int
fr_http_ready(struct fr_exchange *exchange)
{
	if (!fr_is_ready(exchange->front))
		return fr_error_set(exchange->error, FR_EUNAVAILABLE, NULL,
		    "this VM is not ready for work");
	return fr_respond_json(exchange, 200, json_pack("{sb}", "ready", 1));
}

/* GET /metrics */
int
fr_http_metrics(struct fr_exchange *exchange)
{
	size_t bytes = 0;
	char *text = fr_metrics_text(exchange->front, &bytes);

	return fr_respond_text(
	    exchange, "text/plain; version=0.0.4; charset=utf-8", text, bytes);
}

/* GET /metrics.json */
int
fr_http_metrics_json(struct fr_exchange *exchange)
{
	size_t bytes = 0;
	char *text = fr_metrics_json(exchange->front, &bytes);

	return fr_respond_text(exchange, "application/json", text, bytes);
}

/* GET /status */
int
fr_http_status(struct fr_exchange *exchange)
{
	size_t bytes = 0;
	char *text = fr_status_page(exchange->front, &bytes);

	return fr_respond_text(
	    exchange, "text/html; charset=utf-8", text, bytes);
}
