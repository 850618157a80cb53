#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* The cause of a wait is looked for when the wait is this long, and then again
 * after each such time. */
#define LOOK_MS 500
/* Workers that one decision looks at for the sake of the log, which takes less
 * than 1 ms of processor time; the other groups follow in the next ones. */
#define LOOK_HOSTS_MAX 10000
#define KNOWN_ROOMS 16
/* Lines are written at intervals, so that each one names many jobs. */
#define FLUSH_MS 500
/* The placer decides several times a second, unless it cannot. */
#define DECISION_GAP_MAX_MS 1000
#define BUCKETS 4096

/* What the room for a group depends on besides the view. */
struct needs {
	struct bd_flow_step step; /* without what differs between equal ones */
	uint64_t pool;
	uint64_t flow; /* 0: the needs are those of any job */
	uint32_t priority;
	uint32_t count;
	uint64_t uses_reserved; /* 0 or 1, without padding */
};

/* Why groups with some needs find no room. */
struct known_room {
	struct needs needs;
	enum fw_wait reason;
};

/* What one decision visits. */
struct visit {
	struct fw_waits *waits;
	struct fw_view *view;
	const struct fw_tables *tables;
	const struct fw_reservation *reservations;
	bool suspect; /* the job that is visited */
	struct known_room known[KNOWN_ROOMS];
	uint32_t known_count; /* the latest ones replace the first ones */
};

static uint32_t bucket_of(uint64_t flow, uint32_t first);
static struct fw_wait_entry *get_entry(
    struct fw_waits *waits, uint64_t flow, uint32_t first, int64_t now_ms);
static void set_cause(struct fw_wait_entry *entry,
    const struct fw_wait_cause *cause, int64_t at_ms);
static void describe_needs(const struct fw_view *view,
    const struct fw_group *group, struct needs *needs);
static enum fw_wait room_reason(
    struct visit *visit, const struct fw_group *group);
static void look(struct visit *visit, const struct fw_group *group,
    struct fw_wait_entry *entry);
static void visit_group(struct visit *visit, const struct fw_group *group);
static void visit_step(
    struct visit *visit, uint32_t job, uint32_t occurrence, uint32_t step);
static void note_gap(struct fw_waits *waits, int64_t now_ms);
static void note_over(struct fw_waits *waits, const struct fw_view *view);
static void remove_over(struct fw_waits *waits);

static uint32_t
bucket_of(uint64_t flow, uint32_t first)
{
	return (uint32_t)(cw_hash(&flow, sizeof(flow), first) % BUCKETS);
}

/* Returns the entry of a group, which is added if it has none, or NULL if there
 * is no room or memory for it. */
static struct fw_wait_entry *
get_entry(struct fw_waits *waits, uint64_t flow, uint32_t first, int64_t now_ms)
{
	uint32_t bucket = bucket_of(flow, first);
	struct fw_wait_entry *entry;
	uint32_t i;

	if (waits->buckets == NULL) {
		waits->buckets = malloc(BUCKETS * sizeof(*waits->buckets));
		if (waits->buckets == NULL)
			return NULL;
		memset(waits->buckets, 0xff, BUCKETS * sizeof(*waits->buckets));
	}
	for (i = waits->buckets[bucket]; i != FW_NONE;
	     i = waits->entries[i].next)
		if (waits->entries[i].flow == flow &&
		    waits->entries[i].first == first && !waits->entries[i].over)
			return &waits->entries[i];
	if (waits->count == waits->capacity) {
		uint32_t capacity =
		    waits->capacity == 0 ? 64 : waits->capacity * 2;
		struct fw_wait_entry *grown;

		if (capacity > FW_WAITS_MAX)
			return NULL;
		grown = realloc(waits->entries, capacity * sizeof(*grown));
		if (grown == NULL)
			return NULL;
		waits->entries = grown;
		waits->capacity = capacity;
	}
	entry = &waits->entries[waits->count];
	*entry = (struct fw_wait_entry){.flow = flow,
	    .first = first,
	    .next = waits->buckets[bucket],
	    .since_ms = now_ms,
	    .part_ms = now_ms,
	    .look_ms = now_ms + LOOK_MS,
	    .cause.worker = FW_NONE};
	waits->buckets[bucket] = waits->count++;
	return entry;
}

/* Sets the cause of a wait from a time on. The first one that is found counts
 * from the beginning. */
static void
set_cause(struct fw_wait_entry *entry, const struct fw_wait_cause *cause,
    int64_t at_ms)
{
	if (entry->explained && entry->cause.reason != cause->reason) {
		if (at_ms - entry->part_ms > entry->longest_ms) {
			entry->longest_ms = at_ms - entry->part_ms;
			entry->longest = entry->cause.reason;
		}
		entry->part_ms = at_ms;
	}
	entry->explained = true;
	entry->cause = *cause;
}

/* Describes what the room for a group depends on. */
static void
describe_needs(const struct fw_view *view, const struct fw_group *group,
    struct needs *needs)
{
	static const struct bd_host elsewhere = {.rack = "\n"};
	const struct fw_host_view reserved = {
	    .row = &elsewhere, .urgent = true};
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);

	memset(needs, 0, sizeof(*needs));
	needs->step = fw_flow_steps(flow)[group->step];
	needs->step.count = 0;
	needs->step.after = 0;
	needs->step.first_task = 0;
	needs->step.estimate_ms = 0;
	needs->pool = flow->pool;
	/* Tasks of the same step and of suspects depend on their job. */
	if (needs->step.host_max > 0 || group->suspect)
		needs->flow = flow->id;
	needs->priority = group->priority;
	needs->count = group->count;
	needs->uses_reserved = fw_group_may_use(view, &reserved, group);
}

/* Returns why a group finds no room. Groups with the same needs have the same
 * reason, so that the workers are looked at once for all of them. */
static enum fw_wait
room_reason(struct visit *visit, const struct fw_group *group)
{
	uint32_t count =
	    visit->known_count < KNOWN_ROOMS ? visit->known_count : KNOWN_ROOMS;
	struct known_room *known;
	struct needs needs;
	uint32_t i;

	describe_needs(visit->view, group, &needs);
	for (i = 0; i < count && !group->suspect; i++)
		if (memcmp(&visit->known[i].needs, &needs, sizeof(needs)) == 0)
			return visit->known[i].reason;
	known = &visit->known[visit->known_count++ % KNOWN_ROOMS];
	known->needs = needs;
	known->reason = fw_wait_for_room(visit->view, group);
	visit->waits->looked += visit->view->host_count;
	return known->reason;
}

/* Looks for the cause of a wait, unless enough workers were looked at. */
static void
look(struct visit *visit, const struct fw_group *group,
    struct fw_wait_entry *entry)
{
	struct fw_waits *waits = visit->waits;
	struct fw_wait_cause cause;

	if (waits->looked >= LOOK_HOSTS_MAX) {
		if (!waits->cut)
			waits->first_job = group->job;
		waits->cut = true;
		return;
	}
	waits->looked++;
	if (!fw_wait_find_rule(
		visit->view, group, visit->tables, visit->reservations, &cause))
		cause.reason = room_reason(visit, group);
	set_cause(entry, &cause, visit->view->now_ms);
	entry->look_ms = visit->view->now_ms + LOOK_MS;
}

/* Notes that a group waits after a decision. */
static void
visit_group(struct visit *visit, const struct fw_group *group)
{
	struct fw_waits *waits = visit->waits;
	const struct fw_view *view = visit->view;
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	struct fw_wait_entry *entry =
	    get_entry(waits, flow->id, group->first, view->now_ms);
	struct fw_group described = *group;

	if (entry == NULL) {
		waits->untracked++;
		return;
	}
	entry->round = waits->round;
	if (view->now_ms < entry->look_ms)
		return;
	fw_group_describe(&described, view, visit->suspect);
	look(visit, &described, entry);
}

/* Notes the groups of a step of an occurrence that wait. */
static void
visit_step(
    struct visit *visit, uint32_t job, uint32_t occurrence, uint32_t step)
{
	const struct fw_view *view = visit->view;
	const struct bd_flow *flow = fw_job_current(&view->jobs[job]);
	const struct bd_flow_step *row = &fw_flow_steps(flow)[step];
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	bool gang = (row->flags & BD_STEP_GANG) != 0;
	uint32_t first = occurrence * flow->step_tasks + row->first_task;
	bool ready = false;
	uint32_t i;
	uint32_t n;

	for (i = 0; i < row->count; i += gang ? row->count : 1) {
		struct fw_group group = {.job = job,
		    .step = step,
		    .first = first + i,
		    .count = gang ? row->count : 1,
		    .priority = flow->priority};
		bool waits = false;

		for (n = 0; n < group.count && !waits; n++)
			waits = tasks[group.first + n].state ==
			    BD_STEP_TASK_WAITING;
		if (!waits)
			continue;
		ready = ready ||
		    fw_step_ready(flow, occurrence, step, view->wall_ms);
		if (!ready)
			return;
		visit_group(visit, &group);
	}
}

/* Counts the time in which no decision was made as a part of each wait. */
static void
note_gap(struct fw_waits *waits, int64_t now_ms)
{
	struct fw_wait_cause cause = {
	    .reason = FW_WAIT_UNDECIDED, .worker = FW_NONE};
	uint32_t i;

	if (waits->noted_ms == 0 ||
	    now_ms - waits->noted_ms <= DECISION_GAP_MAX_MS)
		return;
	for (i = 0; i < waits->count; i++) {
		struct fw_wait_entry *entry = &waits->entries[i];

		if (entry->over)
			continue;
		set_cause(entry, &cause, waits->noted_ms);
		entry->look_ms = now_ms;
	}
}

/* Ends the waits of the groups that wait no more. */
static void
note_over(struct fw_waits *waits, const struct fw_view *view)
{
	uint32_t i;

	for (i = 0; i < waits->count; i++) {
		struct fw_wait_entry *entry = &waits->entries[i];
		const struct bd_flow *flow;
		uint32_t job;

		if (entry->over || entry->round == waits->round)
			continue;
		entry->over = true;
		entry->until_ms = view->now_ms;
		entry->logged = entry->logged ||
		    view->now_ms - entry->since_ms >= FW_WAIT_LOGGED_MS;
		entry->outcome = "job_ended";
		job = fw_view_job_index(view, entry->flow);
		if (job == FW_NONE)
			continue;
		flow = fw_job_current(&view->jobs[job]);
		if (fw_flow_ended(flow) || flow->cancelled != 0 ||
		    entry->first >= fw_flow_task_count(flow))
			continue;
		entry->outcome = "not_ready";
		switch (fw_flow_tasks(flow)[entry->first].state) {
		case BD_STEP_TASK_PLACED:
			entry->outcome = "placed";
			entry->host = fw_flow_tasks(flow)[entry->first].host;
			break;
		case BD_STEP_TASK_DONE:
			entry->outcome = "done";
			break;
		default:
			break;
		}
	}
}

/* Removes the waits that are over, and of which nothing is to be logged. */
static void
remove_over(struct fw_waits *waits)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < waits->count; i++)
		if (!waits->entries[i].over || waits->entries[i].logged)
			waits->entries[kept++] = waits->entries[i];
	if (kept == waits->count)
		return;
	waits->count = kept;
	memset(waits->buckets, 0xff, BUCKETS * sizeof(*waits->buckets));
	for (i = 0; i < kept; i++) {
		struct fw_wait_entry *entry = &waits->entries[i];
		uint32_t bucket = bucket_of(entry->flow, entry->first);

		entry->next = waits->buckets[bucket];
		waits->buckets[bucket] = i;
	}
}

/*
 * Notes which groups wait after a decision, and logs the long waits. Call it
 * with the view in which the decision was made, and with the reservations that
 * are left.
 */
void
fw_waits_note(struct fw_waits *waits, struct fw_view *view,
    const struct fw_tables *tables, const struct fw_reservation *reservations,
    uint64_t term)
{
	struct visit visit = {.waits = waits,
	    .view = view,
	    .tables = tables,
	    .reservations = reservations};
	uint32_t first = waits->first_job;
	uint32_t i;
	uint32_t k;
	uint32_t s;

	note_gap(waits, view->now_ms);
	waits->noted_ms = view->now_ms;
	waits->round++;
	waits->untracked = 0;
	waits->looked = 0;
	waits->cut = false;
	for (i = 0; i < view->job_count; i++) {
		/* Begins where the last decision has stopped to look. */
		uint32_t job = (first + i) % view->job_count;
		const struct bd_flow *flow = fw_job_current(&view->jobs[job]);

		if (fw_flow_ended(flow) || flow->cancelled != 0)
			continue;
		visit.suspect = fw_flow_suspect(flow, view->wall_ms);
		for (k = 0; k < flow->occurrences; k++)
			for (s = 0; s < flow->step_count; s++)
				visit_step(&visit, job, k, s);
	}
	note_over(waits, view);
	if (view->now_ms - waits->flushed_ms >= FLUSH_MS) {
		waits->flushed_ms = view->now_ms;
		fw_waits_log_waiting(waits, tables, term, view->now_ms);
		fw_waits_log_over(waits, tables, term);
	}
	remove_over(waits);
}

/* Forgets all waits. */
void
fw_waits_clear(struct fw_waits *waits)
{
	free(waits->entries);
	free(waits->buckets);
	memset(waits, 0, sizeof(*waits));
}
