#include <string.h>

#include "front_internal.h"
#include "report.h"

#define DAY_MS 86400000

struct form {
	const char *name;
	const char *content_type;
	char *(*format)(const struct rp_report *report, size_t *bytes);
};

static const struct form forms[] = {
    {"text", "text/plain; charset=utf-8", rp_format_text},
    {"csv", "text/csv; charset=utf-8", rp_format_csv},
    {"plot", "text/plain; charset=utf-8", rp_format_plot},
};

static const struct form *find_form(const char *name);
static int read_records(struct fr_exchange *exchange, int64_t from_ms,
    int64_t to_ms, struct rp_builder **out);

static const struct form *
find_form(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(forms) / sizeof(*forms); i++)
		if (strcmp(forms[i].name, name) == 0)
			return &forms[i];
	return NULL;
}

/* A report keeps tables of its own for the time that it takes, so only one is
 * made at a time. */
static int
read_records(struct fr_exchange *exchange, int64_t from_ms, int64_t to_ms,
    struct rp_builder **out)
{
	struct fr_front *front = exchange->front;
	int code;

	if (front->options.log == NULL)
		return fr_error_set(exchange->error, FR_EUNAVAILABLE, NULL,
		    "this VM has no log");
	if (atomic_flag_test_and_set(&front->reporting))
		return fr_error_set(exchange->error, FR_EUNAVAILABLE, NULL,
		    "another report is being made");
	code = rp_read(front->options.log, from_ms, to_ms, out);
	atomic_flag_clear(&front->reporting);
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
	int code = read_records(
	    exchange, 0, clock->now_ms(clock->ctx) + DAY_MS, &builder);

	if (code != CW_OK)
		return code;
	code = fr_reply_json(
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
	const struct form *form;
	struct rp_builder *builder = NULL;
	uint64_t from_ms;
	uint64_t to_ms;
	size_t bytes = 0;
	char name[8];
	char *text;
	int code;

	code = fr_query_u64(exchange, "to_ms", now_ms, INT64_MAX, &to_ms);
	if (to_ms > now_ms)
		to_ms = now_ms; /* what waits now is counted up to now */
	if (code == CW_OK)
		code = fr_query_u64(exchange, "from_ms",
		    to_ms > DAY_MS ? to_ms - DAY_MS : 0, INT64_MAX, &from_ms);
	if (code == CW_OK)
		code = fr_query_text(exchange, "format", name, sizeof(name));
	if (code != CW_OK)
		return code;
	form = find_form(name[0] == '\0' ? "text" : name);
	if (form == NULL)
		return fr_error_set(exchange->error, FR_EINVALID, "format",
		    "parameter \"format\" must be text, csv or plot");
	code =
	    read_records(exchange, (int64_t)from_ms, (int64_t)to_ms, &builder);
	if (code != CW_OK)
		return code;
	text = form->format(rp_builder_finish(builder), &bytes);
	rp_builder_destroy(builder);
	return fr_reply_text(exchange, form->content_type, text, bytes);
}
