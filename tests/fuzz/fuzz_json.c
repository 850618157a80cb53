#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A submission that is accepted must be within its bounds and encodable; one
 * that is rejected must set an error with a status and a text, which must be
 * encodable too. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct rec_job_submit submit;
	struct fr_error error = {0};
	struct fr_job job = {0};
	json_t *json;

	if (fr_json_submit_decode(data, size, &submit, &error) == CW_OK) {
		if (submit.shape.members < 1 ||
		    submit.shape.members > BD_GANG_MEMBERS_MAX ||
		    submit.shape.accels > BD_WORKER_ACCELS_MAX ||
		    submit.class_number >= BD_CLASS_COUNT ||
		    submit.cross_region > 1 ||
		    (submit.declared_ms != 0 && submit.declared_ms < 1000) ||
		    submit.name[0] == '\0' || submit.input[0] != '{' ||
		    memchr(submit.input, '\0', sizeof(submit.input)) == NULL)
			abort();
		memcpy(job.row.name, submit.name, sizeof(job.row.name));
		memcpy(job.row.input, submit.input, sizeof(job.row.input));
		json = fr_json_job(&job);
	} else {
		if (error.code >= 0 || error.text[0] == '\0')
			abort();
		json = fr_json_error(&error);
	}
	if (json == NULL)
		abort();
	json_decref(json);
	return 0;
}
