#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "gang_internal.h"

/* While there are gangs a step runs at least this often, so that a pause of
 * this VM is detected. */
#define STEP_INTERVAL_MAX_MS 2000

struct gang_set {
	struct bd_board *board;
	uint64_t self;
	struct gang_settings settings;
	struct gang **gangs; /* sorted by token, which is unique */
	size_t count;
	size_t capacity;
	int64_t next_step_ms; /* when it is due; 0: before the first step */
};

static size_t find_index(const struct gang_set *set, uint64_t token);
static void insert_gang(struct gang_set *set, struct gang *gang);
static void detect_pause(struct gang_set *set, int64_t now_ms);
static void open_gangs(struct gang_set *set, int64_t now_ms);
static void log_phase_change(const struct gang *gang, uint32_t before);
static void log_crash(const struct gang_set *set, struct gang *gang);
static void publish_lease(struct gang_set *set, const struct gang *gang);
static void publish_usage(
    struct gang_set *set, struct gang *gang, int64_t now_ms);
static void remove_finished(struct gang_set *set);

/* Creates an empty set. self is this VM's incarnation. Returns GANG_ENOMEM. */
int
gang_set_create(struct gang_set **out, struct bd_board *board, uint64_t self,
    const struct gang_settings *settings)
{
	struct gang_set *set = calloc(1, sizeof(*set));

	assert(settings->renew_interval_ms > 0 &&
	    settings->lease_ms > settings->renew_interval_ms);
	if (set == NULL)
		return cw_error_set(
		    GANG_ENOMEM, "out of memory while creating the gang set");
	set->board = board;
	set->self = self;
	set->settings = *settings;
	*out = set;
	return CW_OK;
}

void
gang_set_destroy(struct gang_set *set)
{
	size_t i;

	if (set == NULL)
		return;
	for (i = 0; i < set->count; i++)
		free(set->gangs[i]);
	free(set->gangs);
	free(set);
}

size_t
gang_set_count(const struct gang_set *set)
{
	return set->count;
}

/* Returns the index of the token, or the one at which it would be inserted. */
static size_t
find_index(const struct gang_set *set, uint64_t token)
{
	size_t low = 0, high = set->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (set->gangs[middle]->token < token)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Inserts a gang, which the set then owns. If memory runs out the gang is
 * freed; the next step opens it again. */
static void
insert_gang(struct gang_set *set, struct gang *gang)
{
	size_t at = find_index(set, gang->token);

	if (set->count == set->capacity) {
		size_t capacity = set->capacity == 0 ? 64 : 2 * set->capacity;
		struct gang **grown =
		    realloc(set->gangs, capacity * sizeof(struct gang *));

		if (grown == NULL) {
			free(gang);
			return;
		}
		set->gangs = grown;
		set->capacity = capacity;
	}
	memmove(&set->gangs[at + 1], &set->gangs[at],
	    (set->count - at) * sizeof(struct gang *));
	set->gangs[at] = gang;
	set->count++;
}

/* Passes the answer to its gang. Answers for unknown gangs are ignored. */
void
gang_set_answer(
    struct gang_set *set, const struct gang_answer *answer, int64_t now_ms)
{
	size_t at = find_index(set, answer->token);

	if (at < set->count && set->gangs[at]->token == answer->token)
		gang_answer_apply(
		    set->gangs[at], answer, &set->settings, now_ms);
}

/* A step that is late by pause_threshold_ms means that this VM was paused. */
static void
detect_pause(struct gang_set *set, int64_t now_ms)
{
	int64_t late_ms = now_ms - set->next_step_ms;
	size_t i;

	if (set->next_step_ms == 0 || set->count == 0 ||
	    late_ms < set->settings.pause_threshold_ms)
		return;
	ev_emit(EV_GANG_PAUSE, "late_ms=%lld gangs=%zu", (long long)late_ms,
	    set->count);
	for (i = 0; i < set->count; i++)
		gang_resume_after_pause(set->gangs[i], &set->settings, now_ms);
}

/* Opens the gangs of placed jobs that this VM owns or is the standby of. */
static void
open_gangs(struct gang_set *set, int64_t now_ms)
{
	const struct bd_job *job;
	uint32_t cursor = 0;
	struct gang *gang;
	size_t at;

	while ((job = bd_job_next(set->board, &cursor)) != NULL) {
		if (job->token == 0)
			continue;
		if (job->owner != set->self &&
		    !gang_is_standby(set->board, job, set->self))
			continue;
		at = find_index(set, job->token);
		if (at < set->count && set->gangs[at]->token == job->token)
			continue;
		if (gang_open(&gang, set->board, job, set->self, now_ms) ==
		    CW_OK)
			insert_gang(set, gang);
	}
}

/* Logs the changes of phase that matter to operators. */
static void
log_phase_change(const struct gang *gang, uint32_t before)
{
	if (gang->phase == before)
		return;
	if (gang->phase == GANG_PHASE_RUNNING)
		ev_emit(EV_GANG_RUNNING, "job=%llu token=%llu members=%u",
		    (unsigned long long)gang->job,
		    (unsigned long long)gang->token, gang->member_count);
	else if (gang->phase == GANG_PHASE_STOPPING)
		ev_emit(gang->outcome == REC_OUTCOME_DONE ? EV_GANG_DONE
							  : EV_GANG_ABORT,
		    "job=%llu token=%llu from=%s reason=%s worker=%016llx",
		    (unsigned long long)gang->job,
		    (unsigned long long)gang->token, gang_phase_name(before),
		    bd_reason_name(gang->reason),
		    (unsigned long long)gang->failed_worker);
}

/* Logs a crash when it is first proposed to record it. */
static void
log_crash(const struct gang_set *set, struct gang *gang)
{
	const struct bd_job *job = bd_job_lookup(set->board, gang->job);

	if (gang->next_crash_ms == 0 || gang->crash_logged)
		return;
	gang->crash_logged = true;
	ev_emit(EV_GANG_CRASH, "job=%llu token=%llu worker=%016llx crash=%u",
	    (unsigned long long)gang->job, (unsigned long long)gang->token,
	    (unsigned long long)gang->crashed_worker,
	    job == NULL ? 0 : job->crashes + 1U);
}

/* Writes the lease row of a gang. The lease ends with the earliest lease of its
 * members. */
static void
publish_lease(struct gang_set *set, const struct gang *gang)
{
	const struct bd_lease *current;
	struct bd_lease row = {.id = gang->job,
	    .token = gang->token,
	    .phase = gang->phase,
	    .renewed_ms = INT64_MAX};
	uint32_t i;

	for (i = 0; i < gang->member_count; i++)
		if (gang->members[i].reported_state != PF_TASK_DONE &&
		    gang->members[i].lease_set_ms < row.renewed_ms)
			row.renewed_ms = gang->members[i].lease_set_ms;
	if (row.renewed_ms == INT64_MAX)
		row.renewed_ms = 0;
	if (row.renewed_ms != 0)
		row.until_ms = row.renewed_ms + set->settings.lease_ms;
	bd_read_begin();
	current = bd_lease_lookup(set->board, gang->job);
	/* Skip an unchanged row, and a gang with an old token that is still
	 * being stopped. */
	if (current != NULL &&
	    (current->token > row.token ||
		memcmp(current, &row, sizeof(row)) == 0)) {
		bd_read_end();
		return;
	}
	bd_read_end();
	bd_put(set->board, BD_TABLE_lease, BD_WRITER_GANG, row.id, &row,
	    sizeof(row), NULL);
}

/* Writes the usage row of a running gang after new reports: the maximum of each
 * value over its members. */
static void
publish_usage(struct gang_set *set, struct gang *gang, int64_t now_ms)
{
	struct bd_usage row = {.id = gang->job, .reported_ms = now_ms};
	uint32_t i;

	if (!gang->usage_changed || gang->phase != GANG_PHASE_RUNNING)
		return;
	gang->usage_changed = false;
	for (i = 0; i < gang->member_count; i++) {
		const struct gang_member *member = &gang->members[i];

		if (member->used_cores_milli > row.cores_milli)
			row.cores_milli = member->used_cores_milli;
		if (member->used_memory_mb > row.memory_mb)
			row.memory_mb = member->used_memory_mb;
		if (member->run_ms > row.run_ms)
			row.run_ms = member->run_ms;
	}
	bd_put(set->board, BD_TABLE_usage, BD_WRITER_USAGE, row.id, &row,
	    sizeof(row), NULL);
}

/* Frees finished gangs and removes the rows that they have published. */
static void
remove_finished(struct gang_set *set)
{
	const struct bd_lease *lease;
	size_t i, kept = 0;
	bool published;

	for (i = 0; i < set->count; i++) {
		struct gang *gang = set->gangs[i];

		if (gang->phase != GANG_PHASE_FINISHED) {
			set->gangs[kept++] = gang;
			continue;
		}
		bd_read_begin();
		lease = bd_lease_lookup(set->board, gang->job);
		published = lease != NULL && lease->token == gang->token;
		bd_read_end();
		if (published) {
			bd_remove(set->board, BD_TABLE_lease, BD_WRITER_GANG,
			    gang->job);
			bd_remove(set->board, BD_TABLE_usage, BD_WRITER_USAGE,
			    gang->job);
		}
		free(gang);
	}
	set->count = kept;
}

/*
 * Runs one step of all gangs. Answers that have arrived must have been passed
 * to gang_set_answer before. Returns the time (ms) of the next step.
 */
int64_t
gang_set_step(
    struct gang_set *set, int64_t now_ms, const struct gang_output *out)
{
	int64_t next_ms = INT64_MAX, wanted_ms;
	size_t i;

	detect_pause(set, now_ms);
	bd_read_begin();
	open_gangs(set, now_ms);
	for (i = 0; i < set->count; i++) {
		uint32_t before = set->gangs[i]->phase;

		wanted_ms = gang_decide(set->board, set->gangs[i],
		    &set->settings, set->self, now_ms, out);
		if (wanted_ms < next_ms)
			next_ms = wanted_ms;
		log_phase_change(set->gangs[i], before);
		log_crash(set, set->gangs[i]);
	}
	bd_read_end();
	for (i = 0; i < set->count; i++) {
		publish_lease(set, set->gangs[i]);
		publish_usage(set, set->gangs[i], now_ms);
	}
	remove_finished(set);
	if (set->count > 0 && next_ms > now_ms + STEP_INTERVAL_MAX_MS)
		next_ms = now_ms + STEP_INTERVAL_MAX_MS;
	if (next_ms < now_ms)
		next_ms = now_ms;
	set->next_step_ms = next_ms;
	return next_ms;
}
