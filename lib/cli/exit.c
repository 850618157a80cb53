#include <assert.h>
#include <string.h>

#include "cli.h"

/* Parses the field "ran" of an answer; NULL and unknown values give
 * CLI_RAN_UNSPECIFIED. */
enum cli_ran
cli_ran_parse(const char *text)
{
	if (text == NULL)
		return CLI_RAN_UNSPECIFIED;
	if (strcmp(text, "not run") == 0)
		return CLI_RAN_NOT;
	if (strcmp(text, "unknown") == 0)
		return CLI_RAN_UNKNOWN;
	if (strcmp(text, "ran") == 0)
		return CLI_RAN_YES;
	return CLI_RAN_UNSPECIFIED;
}

/* Returns the exit code for the state of a job, CLI_EXIT_UNKNOWN if the job has
 * not ended. */
enum cli_exit
cli_exit_from_job(const char *state)
{
	if (state != NULL && strcmp(state, "done") == 0)
		return CLI_EXIT_OK;
	if (state != NULL &&
	    (strcmp(state, "failed") == 0 || strcmp(state, "cancelled") == 0))
		return CLI_EXIT_REFUSED;
	return CLI_EXIT_UNKNOWN;
}

/* Returns whether an answer comes from the upstream and not from camphord: it
 * has a request id but no "ran", which only errors of camphord have. */
bool
cli_answer_is_upstream(const struct cli_answer *answer)
{
	return answer->outcome == CLI_ANSWERED &&
	    answer->ran == CLI_RAN_UNSPECIFIED && answer->request_id[0] != '\0';
}

/*
 * Returns the exit code of a call with all its attempts. A call that may have
 * taken effect is never reported as refused or unreachable, because a script
 * might then repeat it with another idempotency key, and it would run twice.
 */
enum cli_exit
cli_exit_from_answer(const struct cli_answer *answer)
{
	assert(answer != NULL);
	if (answer->outcome != CLI_ANSWERED)
		return answer->maybe_ran ? CLI_EXIT_UNKNOWN
					 : CLI_EXIT_UNREACHABLE;
	if (answer->ran == CLI_RAN_UNKNOWN || answer->ran == CLI_RAN_YES)
		return CLI_EXIT_UNKNOWN;
	if (answer->status >= 200 && answer->status < 300)
		return CLI_EXIT_OK;
	if (cli_answer_is_upstream(answer))
		return CLI_EXIT_REFUSED;
	if (answer->status == 409)
		return CLI_EXIT_CONFLICT;
	if (answer->maybe_ran)
		return CLI_EXIT_UNKNOWN;
	if (answer->status == 401 || answer->status == 403)
		return CLI_EXIT_UNAUTHORISED;
	if (answer->status >= 500)
		return CLI_EXIT_UNREACHABLE;
	return CLI_EXIT_REFUSED;
}
