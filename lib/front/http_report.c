#include "front_internal.h"

/* GET /v1/config/history */
int
fr_http_config_history(struct fr_exchange *exchange)
{
	return fr_error_set(
	    exchange->error, FR_EUNAVAILABLE, NULL, "the log is not connected");
}

/* GET /v1/report */
int
fr_http_report(struct fr_exchange *exchange)
{
	return fr_error_set(
	    exchange->error, FR_EUNAVAILABLE, NULL, "the log is not connected");
}
