#include "front_internal.h"
#include "scheduler.h"

static json_t *make_holder(
    const struct sch_holder *holder, const struct fr_caller *caller);

/* Omits the names of other accounts and their jobs unless the caller is an
 * operator. */
static json_t *
make_holder(const struct sch_holder *holder, const struct fr_caller *caller)
{
	bool is_visible = caller->role == BD_ROLE_OPERATOR ||
	    holder->account == caller->account;

	return json_pack("{sI ss ss sI sb sI}", "job",
	    (json_int_t)(is_visible ? holder->job : 0), "name",
	    is_visible ? holder->job_name : "", "account",
	    is_visible ? holder->account_name : "", "accelerators",
	    (json_int_t)holder->accels, "guaranteed", (int)holder->guaranteed,
	    "end_ms", (json_int_t)holder->end_ms);
}

/* Encodes an explanation for a caller, in fields and as text. Unless the caller
 * is an operator, both leave out the names of other accounts and their jobs. */
json_t *
fr_json_explanation(const struct sch_explanation *explanation,
    const struct fr_caller *caller, int64_t now_ms)
{
	struct sch_explanation redacted = *explanation;
	char text[SCH_EXPLAIN_BYTES];
	json_t *holders = json_array();
	uint32_t i;

	for (i = 0; i < redacted.holder_count && i < SCH_EXPLAIN_HOLDERS_MAX;
	     i++) {
		struct sch_holder *holder = &redacted.holders[i];

		json_array_append_new(holders, make_holder(holder, caller));
		if (caller->role == BD_ROLE_OPERATOR ||
		    holder->account == caller->account)
			continue;
		holder->job = 0;
		snprintf(holder->job_name, sizeof(holder->job_name), "a job");
		snprintf(holder->account_name, sizeof(holder->account_name),
		    "another account");
	}
	sch_explain_format(&redacted, now_ms, text, sizeof(text));
	return json_pack("{sI ss so sI sI sI sI sI sI sI sI sI so}", "id",
	    (json_int_t)redacted.job, "condition",
	    sch_condition_name(redacted.condition), "text", fr_json_utf8(text),
	    "need_accelerators", (json_int_t)redacted.need_accels,
	    "free_accelerators", (json_int_t)redacted.free_accels,
	    "free_together", (json_int_t)redacted.free_together, "ahead",
	    (json_int_t)redacted.ahead, "account_accelerators",
	    (json_int_t)redacted.account_accels, "account_quota",
	    (json_int_t)redacted.account_quota, "waited_ms",
	    (json_int_t)redacted.waited_ms, "start_ms",
	    (json_int_t)redacted.start_ms, "until_ms",
	    (json_int_t)redacted.until_ms, "holders", holders);
}
