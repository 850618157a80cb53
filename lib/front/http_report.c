#include <string.h>

#include "front_internal.h"
#include "report.h"

#define DAY_MS 86400000

struct report_format {
	const char *name;
	const char *content_type;
	char *(*format)(const struct rp_report *report, size_t *bytes);
};

static const struct report_format report_formats[] = {
    {"text", "text/plain; charset=utf-8", rp_format_text},
    {"csv", "text/csv; charset=utf-8", rp_format_csv},
    {"plot", "text/plain; charset=utf-8", rp_format_plot},
};

static const struct report_format *find_report_format(const char *name);
static int build_report(struct fr_exchange *exchange, int64_t from_ms,
    int64_t to_ms, struct rp_builder **out);

static const struct report_format *
find_report_format(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(report_formats) / sizeof(*report_formats); i++)
		if (strcmp(report_formats[i].name, name) == 0)
			return &report_formats[i];
	return NULL;
}

/* Reads the log's records of a period into a report. A report holds tables of
 * its own in memory while it is built, so only one is built at a time. */
static int
build_report(struct fr_exchange *exchange, int64_t from_ms, int64_t to_ms,
    struct rp_builder **out)
{
	struct fr_front *front = exchange->front;
	int code;

	if (front->options.log == NULL)
		return fr_error_set(exchange->error, FR_EUNAVAILABLE, NULL,
		    "this VM has no log");
	if (atomic_flag_test_and_set(&front->report_in_progress))
		return fr_error_set(exchange->error, FR_EUNAVAILABLE, NULL,
		    "another report is being made");
	code = rp_log_read(front->options.log, from_ms, to_ms, out);
	atomic_flag_clear(&front->report_in_progress);
	switch (code) {
	case CW_OK:
		return CW_OK;
	case RP_EINVALID:
		return fr_error_set(exchange->error, FR_EINVALID, "from_ms",
		    "the period is empty or lies ahead");
	case RP_ENOMEM:
		return fr_error_set(exchange->error, FR_ENOMEM, NULL,
		    "no memory for the report");
	default:
		return fr_error_set(exchange->error, FR_EUNAVAILABLE, NULL,
		    "%s", cw_error_last());
	}
}

/* GET /v1/config/history */
int
fr_http_config_history(struct fr_exchange *exchange)
{
	const struct ctl_clock *clock = &exchange->front->options.wall;
	struct rp_builder *builder = NULL;
	int code = build_report(
	    exchange, 0, clock->now_ms(clock->ctx) + DAY_MS, &builder);

	if (code != CW_OK)
		return code;
	code = fr_respond_json(
	    exchange, 200, fr_json_history(rp_builder_finish(builder)));
	rp_builder_destroy(builder);
	return code;
}

/* GET /v1/report */
int
fr_http_report(struct fr_exchange *exchange)
{
	const struct ctl_clock *clock = &exchange->front->options.wall;
	uint64_t now_ms = (uint64_t)clock->now_ms(clock->ctx);
	const struct report_format *report_format;
	struct rp_builder *builder = NULL;
	uint64_t from_ms;
	uint64_t to_ms;
	size_t bytes = 0;
	char name[8];
	char *text;
	int code;

	code = fr_query_u64(exchange, "to_ms", now_ms, INT64_MAX, &to_ms);
	if (to_ms > now_ms)
		to_ms = now_ms; /* waiting times are counted up to now */
	if (code == CW_OK)
		code = fr_query_u64(exchange, "from_ms",
		    to_ms > DAY_MS ? to_ms - DAY_MS : 0, INT64_MAX, &from_ms);
	if (code == CW_OK)
		code = fr_query_string(exchange, "format", name, sizeof(name));
	if (code != CW_OK)
		return code;
	report_format = find_report_format(name[0] == '\0' ? "text" : name);
	if (report_format == NULL)
		return fr_error_set(exchange->error, FR_EINVALID, "format",
		    "parameter \"format\" must be text, csv or plot");
	code =
	    build_report(exchange, (int64_t)from_ms, (int64_t)to_ms, &builder);
	if (code != CW_OK)
		return code;
	text = report_format->format(rp_builder_finish(builder), &bytes);
	rp_builder_destroy(builder);
	return fr_respond_text(
	    exchange, report_format->content_type, text, bytes);
}
