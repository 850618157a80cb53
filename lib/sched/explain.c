#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "scheduler_internal.h"

static const char *const condition_names[SCH_CONDITION_COUNT] = {
    [SCH_CONDITION_UNKNOWN_JOB] = "unknown job",
    [SCH_CONDITION_ENDED] = "ended",
    [SCH_CONDITION_RUNNING] = "has its place",
    [SCH_CONDITION_PREEMPTING] = "is being stopped",
    [SCH_CONDITION_CAN_START] = "can start now",
    [SCH_CONDITION_RECLAIMING] = "its guaranteed plan is being cleared",
    [SCH_CONDITION_ON_HOLD] = "held back after a reclaim",
    [SCH_CONDITION_QUOTA] = "its account is above its quota",
    [SCH_CONDITION_RESERVED] = "a starving gang holds a reservation",
    [SCH_CONDITION_FRAGMENTED] = "enough is free, but not together",
    [SCH_CONDITION_NO_CAPACITY] = "other jobs hold what it needs",
    [SCH_CONDITION_GUARANTEE_SHORT] = "its guarantee is short of hardware",
    [SCH_CONDITION_UNSCHEDULABLE] = "it fits no workers at all",
    [SCH_CONDITION_SUSPECT] = "workers crashed under it, it is tried alone",
};

static const char *const condition_remedies[SCH_CONDITION_COUNT] = {
    [SCH_CONDITION_UNKNOWN_JOB] = "submit it",
    [SCH_CONDITION_ENDED] = "nothing",
    [SCH_CONDITION_RUNNING] = "nothing",
    [SCH_CONDITION_PREEMPTING] = "nothing; it waits again afterwards",
    [SCH_CONDITION_CAN_START] = "nothing; the next decision places it",
    [SCH_CONDITION_RECLAIMING] =
	"nothing; the borrowers stop by the deadline below",
    [SCH_CONDITION_ON_HOLD] =
	"the hold time ends, or unplanned accelerators become free",
    [SCH_CONDITION_QUOTA] = "jobs of its account end, or its quota is raised",
    [SCH_CONDITION_RESERVED] =
	"the gang starts, or a shorter run time is declared",
    [SCH_CONDITION_FRAGMENTED] =
	"jobs below end, or a shape with smaller members is submitted",
    [SCH_CONDITION_NO_CAPACITY] = "jobs below end, or workers are added",
    [SCH_CONDITION_GUARANTEE_SHORT] = "lost workers return or are replaced",
    [SCH_CONDITION_UNSCHEDULABLE] =
	"a smaller shape is submitted, or larger workers are added",
    [SCH_CONDITION_SUSPECT] =
	"workers become idle, or other such jobs have run for a while",
};

struct text_buffer {
	char *data;
	size_t bytes;
	size_t used;
};

static void fill_capacity(
    struct sch *sch, uint32_t job, struct sch_explanation *out);
static void add_holder(
    struct sch *sch, uint32_t job, struct sch_explanation *out);
static bool has_short_guarantee(
    const struct sch *sch, const struct sch_job *job);
static uint32_t waiting_condition(
    struct sch *sch, uint32_t job, struct sch_explanation *out);
static void find_holders(
    struct sch *sch, uint32_t job, struct sch_explanation *out);
static void explain_active(
    struct sch *sch, uint32_t job, struct sch_explanation *out);
static int discard_proposal(
    void *ctx, const struct rec *rec, const struct st_completion *done);
static void append(struct text_buffer *text, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
static void append_duration(struct text_buffer *text, int64_t ms);

/* Returns the description of a condition, as shown to users. */
const char *
sch_condition_name(uint32_t condition)
{
	return condition < SCH_CONDITION_COUNT ? condition_names[condition]
					       : "unknown condition";
}

/* Fills in the account's usage and the free capacity. */
static void
fill_capacity(struct sch *sch, uint32_t job, struct sch_explanation *out)
{
	const struct sch_job *entry = &sch->jobs[job];
	const struct sch_account *account = &sch->accounts[entry->account];
	struct sch_need need = sch_need_of(&entry->row->shape);
	uint32_t r;
	uint32_t w;

	out->account_accels = (uint32_t)account->held_accels;
	if (account->row != NULL)
		out->account_quota = account->row->quota_accels;
	for (r = 0; r < sch->rack_count; r++) {
		const struct sch_rack *rack = &sch->racks[r];
		uint32_t members = 0;

		for (w = rack->first; w < rack->first + rack->count; w++) {
			const struct sch_worker *worker = &sch->workers[w];

			if (!worker->usable)
				continue;
			out->free_accels +=
			    (uint32_t)__builtin_popcount(worker->free.mask);
			members +=
			    sch_resources_fit_count(&worker->free, &need);
		}
		if (members > need.members)
			members = need.members;
		if (members * need.accels > out->free_together)
			out->free_together = members * need.accels;
	}
}

/* Counts a job as a holder, once per trial stamp, and lists it if there is
 * space. */
static void
add_holder(struct sch *sch, uint32_t job, struct sch_explanation *out)
{
	const struct sch_job *entry = &sch->jobs[job];
	const struct sch_account *account = &sch->accounts[entry->account];
	struct sch_holder *holder;

	if (entry->trial_stamp == sch->trial_stamp)
		return;
	sch->jobs[job].trial_stamp = sch->trial_stamp;
	out->holder_count++;
	if (out->holder_count > SCH_EXPLAIN_HOLDERS_MAX)
		return;
	holder = &out->holders[out->holder_count - 1];
	holder->job = entry->row->id;
	holder->account = entry->row->account;
	memcpy(holder->job_name, entry->row->name, CW_NAME_BYTES);
	if (account->row != NULL)
		memcpy(holder->account_name, account->row->name, CW_NAME_BYTES);
	holder->accels =
	    (uint32_t)entry->row->shape.members * entry->row->shape.accels;
	holder->guaranteed = entry->promise != SCH_NONE;
	holder->end_ms = entry->end_ms;
}

/* Returns true if the job's account has a promise that is large enough for the
 * job but has no valid plan. */
static bool
has_short_guarantee(const struct sch *sch, const struct sch_job *job)
{
	struct sch_need need = sch_need_of(&job->row->shape);
	uint32_t p = sch->accounts[job->account].first_promise;

	for (; p != SCH_NONE; p = sch->promises[p].next_in_account) {
		struct sch_need promise_need =
		    sch_need_of(&sch->promises[p].row->shape);

		if (!sch->promises[p].valid &&
		    sch_need_covers(&promise_need, &need))
			return true;
	}
	return false;
}

/* Returns the enum sch_condition that explains why the placement decision left
 * a job waiting, and stores the end of the condition where it is known. */
static uint32_t
waiting_condition(struct sch *sch, uint32_t job, struct sch_explanation *out)
{
	const struct sch_job *entry = &sch->jobs[job];
	struct sch_account *account = &sch->accounts[entry->account];
	uint32_t j;

	if (entry->task_count > 0)
		return SCH_CONDITION_CAN_START;
	if (!sch_is_schedulable(sch, entry->row))
		return SCH_CONDITION_UNSCHEDULABLE;
	/* A decided job waits until the victims of its claim have stopped: jobs
	 * preempted for it, or for no particular job. */
	for (j = 0; j < sch->job_count; j++) {
		if (!sch->jobs[j].victim ||
		    (entry->decided ? sch->jobs[j].row->preempted_for != 0 &&
				sch->jobs[j].row->preempted_for !=
				    entry->row->id
				    : true))
			continue;
		out->until_ms = sch->jobs[j].row->preempt_deadline_ms;
	}
	if (entry->decided)
		return SCH_CONDITION_RECLAIMING;
	out->until_ms = 0;
	if (has_short_guarantee(sch, entry))
		return SCH_CONDITION_GUARANTEE_SHORT;
	if (entry->row->hold_until_ms > sch->now_ms) {
		out->until_ms = entry->row->hold_until_ms;
		return SCH_CONDITION_ON_HOLD;
	}
	if (entry->row->crashes > 0)
		return SCH_CONDITION_SUSPECT;
	if (sch->reservation.job != 0 &&
	    sch->reservation.job != entry->row->id &&
	    out->free_together >= out->need_accels)
		return SCH_CONDITION_RESERVED;
	if (out->free_accels >= out->need_accels && out->need_accels > 0 &&
	    out->free_together < out->need_accels)
		return SCH_CONDITION_FRAGMENTED;
	if (account->excess_share > 0 && out->ahead > 0)
		return SCH_CONDITION_QUOTA;
	return SCH_CONDITION_NO_CAPACITY;
}

/* Lists the jobs that hold resources on the workers where the job is expected
 * to start. */
static void
find_holders(struct sch *sch, uint32_t job, struct sch_explanation *out)
{
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	uint32_t count;
	uint32_t i;
	uint32_t t;

	sch->trial_stamp++;
	out->start_ms =
	    sch_start_estimate(sch, sch->jobs[job].row, assignments, &count);
	for (i = 0; i < count; i++)
		for (t = sch->workers[assignments[i].worker].first_task;
		     t != SCH_NONE; t = sch->tasks[t].next_on_worker)
			if (sch->tasks[t].mask == 0 ||
			    (sch->tasks[t].mask & assignments[i].mask) != 0)
				add_holder(sch, sch->tasks[t].job, out);
}

/* Sink that drops a record and reports success. */
static int
discard_proposal(
    void *ctx, const struct rec *rec, const struct st_completion *done)
{
	(void)ctx;
	(void)rec;
	if (done != NULL && done->call != NULL)
		done->call(done->ctx, CW_OK, 0);
	return CW_OK;
}

/* Explains a job that has not ended. For a waiting job, runs the placement
 * decision on the view, discards its proposals, and derives the condition from
 * the outcome for the job. */
static void
explain_active(struct sch *sch, uint32_t job, struct sch_explanation *out)
{
	struct st_sink sink = sch->spec.sink;
	struct sch_reservation reservation = sch->reservation;
	const struct bd_job *row = sch->jobs[job].row;
	uint32_t next;

	fill_capacity(sch, job, out);
	if (row->state == BD_JOB_PREEMPTING) {
		out->condition = SCH_CONDITION_PREEMPTING;
		out->until_ms = row->preempt_deadline_ms;
		return;
	}
	if (row->state != BD_JOB_WAITING) {
		out->condition = SCH_CONDITION_RUNNING;
		out->until_ms = sch->jobs[job].end_ms;
		return;
	}
	out->waited_ms = sch->now_ms - row->waiting_since_ms;
	sch->spec.sink.propose = discard_proposal;
	sch->proposed_count = 0;
	sch_place_run(sch);
	sch->spec.sink = sink;
	sch_order_rewind(sch);
	while ((next = sch_order_next(sch)) != SCH_NONE && next != job)
		if (sch->jobs[next].task_count == 0)
			out->ahead++;
	out->condition = waiting_condition(sch, job, out);
	if (out->condition != SCH_CONDITION_CAN_START)
		find_holders(sch, job, out);
	sch->reservation = reservation;
}

/*
 * Explains the state of a job: its condition, the jobs that hold the resources
 * it needs, and the account's usage. Proposes nothing; costs as much as a
 * placement decision. If the scheduler runs in another thread, the caller needs
 * a separate struct sch. Returns SCH_ENOTFOUND if there is no job with this id.
 */
int
sch_explain(
    struct sch *sch, uint64_t job, int64_t now_ms, struct sch_explanation *out)
{
	const struct bd_job *row;
	uint32_t index;

	assert(out != NULL);
	memset(out, 0, sizeof(*out));
	out->job = job;
	bd_read_begin();
	sch_view_load(sch, now_ms);
	row = bd_job_lookup(sch->spec.board, job);
	if (row != NULL) {
		out->state = row->state;
		out->reason = row->reason;
		out->need_accels =
		    (uint32_t)row->shape.members * row->shape.accels;
		memcpy(out->name, row->name, CW_NAME_BYTES);
		index = sch_index_get(&sch->job_index, job);
		if (index == SCH_NONE)
			out->condition = SCH_CONDITION_ENDED;
		else
			explain_active(sch, index, out);
	}
	bd_read_end();
	if (row == NULL)
		return cw_error_set(SCH_ENOTFOUND, "job %016llx not found",
		    (unsigned long long)job);
	return CW_OK;
}

/* Appends formatted text, truncated at the end of the buffer. */
static void
append(struct text_buffer *text, const char *format, ...)
{
	va_list args;
	int length;

	if (text->used + 1 >= text->bytes)
		return;
	va_start(args, format);
	length = vsnprintf(
	    text->data + text->used, text->bytes - text->used, format, args);
	va_end(args);
	if (length < 0)
		return;
	text->used += (size_t)length;
	if (text->used >= text->bytes)
		text->used = text->bytes - 1;
}

static void
append_duration(struct text_buffer *text, int64_t ms)
{
	int64_t s = ms / 1000;

	if (s >= 3600)
		append(text, "%lld h %lld min", (long long)(s / 3600),
		    (long long)(s % 3600 / 60));
	else if (s >= 60)
		append(text, "%lld min %lld s", (long long)(s / 60),
		    (long long)(s % 60));
	else
		append(text, "%lld s", (long long)s);
}

/*
 * Formats an explanation, with what has to change for the job to proceed, as
 * plain text of at most 20 lines of 120 columns. Returns the length; output is
 * truncated to bytes - 1 characters. Times are relative to now_ms.
 */
size_t
sch_explain_format(const struct sch_explanation *explanation, int64_t now_ms,
    char *buffer, size_t bytes)
{
	const struct sch_explanation *e = explanation;
	struct text_buffer text = {buffer, bytes, 0};
	uint32_t shown = e->holder_count < SCH_EXPLAIN_HOLDERS_MAX
	    ? e->holder_count
	    : SCH_EXPLAIN_HOLDERS_MAX;
	uint32_t i;

	assert(bytes > 0);
	buffer[0] = '\0';
	append(&text, "job %016llx %s: %s\n", (unsigned long long)e->job,
	    e->name, bd_job_state_name(e->state));
	append(&text, "condition: %s\n", sch_condition_name(e->condition));
	append(&text, "last change: %s\n", bd_reason_name(e->reason));
	if (e->condition != SCH_CONDITION_ENDED) {
		append(&text,
		    "needs %u accelerators; free %u, together %u; account "
		    "holds %u of %u\n",
		    e->need_accels, e->free_accels, e->free_together,
		    e->account_accels, e->account_quota);
	}
	if (e->state == BD_JOB_WAITING) {
		append(&text, "waited ");
		append_duration(&text, e->waited_ms);
		append(&text, "; %u jobs go first\n", e->ahead);
	}
	if (e->start_ms > now_ms) {
		append(&text, "expected to start in ");
		append_duration(&text, e->start_ms - now_ms);
		append(&text, "\n");
	}
	if (e->until_ms > now_ms) {
		append(&text, "until: in ");
		append_duration(&text, e->until_ms - now_ms);
		append(&text, "\n");
	}
	append(&text, "what has to change: %s\n",
	    condition_remedies[e->condition < SCH_CONDITION_COUNT ? e->condition
								  : 0]);
	for (i = 0; i < shown; i++) {
		const struct sch_holder *h = &e->holders[i];

		append(&text, "held by %016llx %.24s (%.20s), %u, %s, ends in ",
		    (unsigned long long)h->job, h->job_name, h->account_name,
		    h->accels, h->guaranteed ? "guaranteed" : "borrowed");
		append_duration(
		    &text, h->end_ms > now_ms ? h->end_ms - now_ms : 0);
		append(&text, "\n");
	}
	if (e->holder_count > shown)
		append(&text, "and %u more\n", e->holder_count - shown);
	return text.used;
}
