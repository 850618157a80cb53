#include <stdlib.h>
#include <string.h>

#include "front_internal.h"
#include "scheduler.h"

static int read_idempotency_key(
    const struct fr_exchange *exchange, char *out, size_t bytes);
static int read_state_filter(
    const struct fr_exchange *exchange, uint32_t *state);
static int reply_detail(
    struct fr_exchange *exchange, const struct fr_job_detail *detail);

static int
read_idempotency_key(
    const struct fr_exchange *exchange, char *out, size_t bytes)
{
	const char *key = exchange->call->idempotency_key;
	size_t i;

	if (key == NULL)
		return CW_OK;
	for (i = 0; key[i] != '\0'; i++)
		if (i + 1 >= bytes || key[i] <= 0x20 || key[i] >= 0x7f)
			break;
	if (i == 0 || key[i] != '\0')
		return fr_error_set(exchange->error, FR_EINVALID,
		    "Idempotency-Key",
		    "header Idempotency-Key must have 1 to %zu printable "
		    "ASCII bytes without spaces",
		    bytes - 1);
	memcpy(out, key, i);
	return CW_OK;
}

/* POST /v1/jobs */
int
fr_http_job_submit(struct fr_exchange *exchange)
{
	const struct lk_http_request *request = exchange->call->request;
	struct rec_job_submit submit;
	bool repeated;
	uint64_t id;
	int code;

	code = fr_json_submit_decode(
	    request->body, request->body_bytes, &submit, exchange->error);
	if (code == CW_OK)
		code = read_idempotency_key(
		    exchange, submit.submit_key, sizeof(submit.submit_key));
	if (code == CW_OK)
		code = fr_job_submit(exchange->front, &exchange->caller,
		    &submit, &id, &repeated, exchange->error);
	if (code != CW_OK)
		return code;
	return fr_respond_json(exchange, repeated ? 200 : 201,
	    json_pack("{sI}", "id", (json_int_t)id));
}

static int
read_state_filter(const struct fr_exchange *exchange, uint32_t *state)
{
	char name[16];
	int code = fr_query_string(exchange, "state", name, sizeof(name));

	*state = FR_JOB_STATE_ANY;
	if (code != CW_OK || name[0] == '\0')
		return code;
	for (*state = 0; *state <= BD_JOB_CANCELLED; (*state)++)
		if (strcmp(name, bd_job_state_name(*state)) == 0)
			return CW_OK;
	return fr_error_set(exchange->error, FR_EINVALID, "state",
	    "parameter \"state\" is no state of a job");
}

/* GET /v1/jobs */
int
fr_http_job_list(struct fr_exchange *exchange)
{
	struct fr_job_filter filter = {0};
	char account[CW_NAME_BYTES];
	struct fr_jobs list;
	uint64_t limit;
	int code;

	code = read_state_filter(exchange, &filter.state);
	if (code == CW_OK)
		code = fr_query_u64(
		    exchange, "after", 0, INT64_MAX, &filter.after);
	if (code == CW_OK)
		code = fr_query_u64(
		    exchange, "limit", 200, FR_JOB_LIST_MAX, &limit);
	if (code == CW_OK)
		code = fr_query_string(
		    exchange, "account", account, sizeof(account));
	if (code != CW_OK)
		return code;
	filter.limit = limit == 0 ? 1 : (uint32_t)limit;
	if (account[0] != '\0')
		filter.account = cw_id_from_name(account);
	code = fr_job_list(exchange->front, &exchange->caller, &filter, &list,
	    exchange->error);
	if (code != CW_OK)
		return code;
	code = fr_respond_json(exchange, 200, fr_json_job_list(&list));
	free(list.jobs);
	return code;
}

static int
reply_detail(struct fr_exchange *exchange, const struct fr_job_detail *detail)
{
	return fr_respond_json(exchange, 200, fr_json_job_detail(detail));
}

/* GET /v1/jobs/{id} */
int
fr_http_job_get(struct fr_exchange *exchange)
{
	struct fr_job_detail detail;
	int code = fr_job_get(exchange->front, &exchange->caller, exchange->id,
	    &detail, exchange->error);

	return code != CW_OK ? code : reply_detail(exchange, &detail);
}

/* GET /v1/jobs/{id}/wait */
int
fr_http_job_wait(struct fr_exchange *exchange)
{
	struct fr_job_detail detail;
	uint64_t timeout_ms;
	uint64_t known_epoch;
	bool busy;
	int code;

	code = fr_query_u64(exchange, "timeout_ms", FR_WAIT_MS_DEFAULT,
	    FR_WAIT_MS_MAX, &timeout_ms);
	if (code == CW_OK)
		code = fr_query_u64(
		    exchange, "version", 0, INT64_MAX, &known_epoch);
	if (code == CW_OK)
		code = fr_job_wait(exchange->front, &exchange->caller,
		    exchange->id, known_epoch, (uint32_t)timeout_ms, &busy,
		    &detail, exchange->error);
	if (code != CW_OK)
		return code;
	if (busy)
		lk_http_response_header_add(
		    exchange->response, "X-Wait", "busy");
	return reply_detail(exchange, &detail);
}

/* DELETE /v1/jobs/{id} */
int
fr_http_job_cancel(struct fr_exchange *exchange)
{
	int code = fr_job_cancel(
	    exchange->front, &exchange->caller, exchange->id, exchange->error);

	if (code != CW_OK)
		return code;
	return fr_respond_json(exchange, 202,
	    json_pack("{sI ss}", "id", (json_int_t)exchange->id, "state",
		bd_job_state_name(BD_JOB_CANCELLED)));
}

/* GET /v1/jobs/{id}/explain */
int
fr_http_job_explain(struct fr_exchange *exchange)
{
	const struct ctl_clock *clock = &exchange->front->options.wall;
	struct sch_explanation explanation = {0};
	int code = fr_job_explain(exchange->front, &exchange->caller,
	    exchange->id, &explanation, exchange->error);

	if (code != CW_OK)
		return code;
	return fr_respond_json(exchange, 200,
	    fr_json_explanation(
		&explanation, &exchange->caller, clock->now_ms(clock->ctx)));
}
