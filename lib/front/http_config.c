#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int reply_rejected(
    struct fr_exchange *exchange, int code, struct cfg_errors *errors);

/* Responds with the errors of a rejected text, and frees errors. */
static int
reply_rejected(
    struct fr_exchange *exchange, int code, struct cfg_errors *errors)
{
	if (code == FR_EINVALID && errors->count > 0)
		code = fr_respond_json(exchange, 422,
		    fr_json_config_errors(exchange->error, errors));
	free(errors);
	return code;
}

/* PUT /v1/config?base=N */
int
fr_http_config_put(struct fr_exchange *exchange)
{
	const struct lk_http_request *request = exchange->call->request;
	struct cfg_errors *errors;
	uint64_t version;
	uint64_t base;
	int code;

	code = fr_query_u64(exchange, "base", UINT64_MAX, INT64_MAX, &base);
	if (code != CW_OK)
		return code;
	if (base == UINT64_MAX)
		return fr_error_set(exchange->error, FR_ESYNTAX, "base",
		    "parameter \"base\" is missing: the version that the text "
		    "was made from");
	errors = calloc(1, sizeof(*errors));
	if (errors == NULL)
		return fr_error_set(
		    exchange->error, FR_ENOMEM, NULL, "no memory");
	code = fr_config_put(exchange->front, &exchange->caller, base,
	    request->body == NULL ? "" : request->body, request->body_bytes,
	    &version, errors, exchange->error);
	if (code != CW_OK)
		return reply_rejected(exchange, code, errors);
	free(errors);
	ev_emit(base == 0 ? EV_FRONT_BOOTSTRAP : EV_FRONT_CONFIG,
	    "version=%llu author=%s remote=%s", (unsigned long long)version,
	    exchange->caller.name,
	    request->remote == NULL ? "" : request->remote);
	return fr_respond_json(
	    exchange, 200, json_pack("{sI}", "version", (json_int_t)version));
}

/* POST /v1/config/check */
int
fr_http_config_check(struct fr_exchange *exchange)
{
	const struct lk_http_request *request = exchange->call->request;
	struct cfg_errors *errors = calloc(1, sizeof(*errors));
	struct fr_config_counts counts;
	int code;

	if (errors == NULL)
		return fr_error_set(
		    exchange->error, FR_ENOMEM, NULL, "no memory");
	code = fr_config_check(exchange->front,
	    request->body == NULL ? "" : request->body, request->body_bytes,
	    &counts, errors, exchange->error);
	if (code != CW_OK)
		return reply_rejected(exchange, code, errors);
	free(errors);
	return fr_respond_json(exchange, 200,
	    json_pack("{sb sI sI sI sI}", "ok", 1, "accounts",
		(json_int_t)counts.accounts, "shapes",
		(json_int_t)counts.shapes, "services",
		(json_int_t)counts.services, "upstreams",
		(json_int_t)counts.upstreams));
}

/* GET /v1/config */
int
fr_http_config_get(struct fr_exchange *exchange)
{
	struct bd_config *config;
	int code = fr_config_get(exchange->front, &config);

	if (code != CW_OK)
		return fr_error_set(
		    exchange->error, FR_ENOMEM, NULL, "no memory");
	code = fr_respond_json(exchange, 200, fr_json_config(config));
	free(config);
	return code;
}

/* GET /v1/config/version */
int
fr_http_config_version(struct fr_exchange *exchange)
{
	const struct fr_options *options = &exchange->front->options;

	return fr_respond_json(exchange, 200,
	    json_pack("{sI ss}", "version",
		(json_int_t)fr_config_version(options->board), "vm",
		options->vm));
}
