#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* A wait is logged once it is this long: tasks that are ready have to be
 * started within 3 s. */
#define LOGGED_MIN_MS 1000
/* Time between two lines about one group. */
#define LOGGED_AGAIN_MS 1000
/* The cause of a wait is looked for when the wait is this long, and then again
 * after each such time. */
#define LOOK_MS 500
/* Workers that one decision looks at for the sake of the log, which takes less
 * than 1 ms of processor time; the other groups follow in the next ones. */
#define LOOK_HOSTS_MAX 10000
#define KNOWN_ROOMS 16
/* A wait is logged without a cause if none was looked for by this time. */
#define EXPLAINED_MAX_MS 2000
/* Lines are written at intervals, so that each one names many jobs, and so many
 * of one event at a time: fewer in a second than the log takes, see
 * lib/base/event_stdout.c. What is left follows with the next ones. */
#define FLUSH_MS 500
#define FLUSH_LINES_MAX 13
/* Fits with the other fields into a line of the log. */
#define JOBS_BYTES 860
#define ITEM_BYTES 160
/* The placer decides several times a second, unless it cannot. */
#define DECISION_GAP_MAX_MS 1000
#define BUCKETS 4096

/* A line that names jobs and is not written yet. */
struct line {
	enum ev_number number;
	const char *what;  /* value of the line's first field */
	const char *field; /* its name */
	uint64_t term;
	uint32_t untracked;
	uint32_t tasks;
	int64_t longest_ms;
	uint32_t lines; /* written so far */
	size_t used;
	char jobs[JOBS_BYTES];
};

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
static bool is_due(const struct fw_wait_entry *entry, int64_t now_ms);
static bool write_line(struct line *line);
static bool add_item(struct line *line, const char *item);
static void format_waiting(const struct fw_tables *tables,
    const struct fw_wait_entry *entry, uint32_t more, int64_t now_ms,
    char item[ITEM_BYTES]);
static void format_over(const struct fw_tables *tables,
    const struct fw_wait_entry *entry, uint32_t more, char item[ITEM_BYTES]);
static void log_waiting(struct fw_waits *waits, const struct fw_tables *tables,
    uint64_t term, int64_t now_ms);
static void log_over(
    struct fw_waits *waits, const struct fw_tables *tables, uint64_t term);

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
		    view->now_ms - entry->since_ms >= LOGGED_MIN_MS;
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

/* Returns whether a line is due about a wait that goes on. */
static bool
is_due(const struct fw_wait_entry *entry, int64_t now_ms)
{
	if (entry->over ||
	    (!entry->explained && now_ms - entry->since_ms < EXPLAINED_MAX_MS))
		return false;
	if (!entry->logged)
		return now_ms - entry->since_ms >= LOGGED_MIN_MS;
	return entry->logged_reason != entry->cause.reason &&
	    now_ms - entry->logged_ms >= LOGGED_AGAIN_MS;
}

/* Writes a line, if it names any jobs. Returns whether there may be another.
 */
static bool
write_line(struct line *line)
{
	if (line->used == 0)
		return line->lines < FLUSH_LINES_MAX;
	ev_emit(line->number,
	    "%s=%s term=%" PRIu64 " tasks=%u longest_ms=%" PRId64
	    " untracked=%u jobs=%s",
	    line->field, line->what, line->term, line->tasks, line->longest_ms,
	    line->untracked, line->jobs);
	line->used = 0;
	line->tasks = 0;
	line->longest_ms = 0;
	return ++line->lines < FLUSH_LINES_MAX;
}

/* Adds an item to a line. Returns false if no other line may be written. */
static bool
add_item(struct line *line, const char *item)
{
	size_t bytes = strlen(item);

	if (line->used + bytes + 2 > sizeof(line->jobs) && !write_line(line))
		return false;
	if (line->used > 0)
		line->jobs[line->used++] = ',';
	memcpy(line->jobs + line->used, item, bytes + 1);
	line->used += bytes;
	return true;
}

/* Writes ID/TASK:MS, the number of further tasks as +N, and the run and the
 * worker that are waited for as #RUN and @WORKER. */
static void
format_waiting(const struct fw_tables *tables,
    const struct fw_wait_entry *entry, uint32_t more, int64_t now_ms,
    char item[ITEM_BYTES])
{
	int at = snprintf(item, ITEM_BYTES, "%016" PRIx64 "/%u:%" PRId64,
	    entry->flow, entry->first, now_ms - entry->since_ms);

	if (more > 0)
		at += snprintf(item + at, ITEM_BYTES - (size_t)at, "+%u", more);
	if (entry->cause.run > 0)
		at += snprintf(item + at, ITEM_BYTES - (size_t)at, "#%u",
		    entry->cause.run);
	if (entry->cause.worker != FW_NONE)
		snprintf(item + at, ITEM_BYTES - (size_t)at, "@%.64s",
		    tables->worker_states[entry->cause.worker].name);
}

/* Writes ID/TASK:MS, further tasks as +N, the reason of the longest part with
 * its time as :REASON:MS, and where the task was placed as @WORKER. */
static void
format_over(const struct fw_tables *tables, const struct fw_wait_entry *entry,
    uint32_t more, char item[ITEM_BYTES])
{
	uint32_t worker = entry->host != 0
	    ? fw_worker_state_find(tables, entry->host)
	    : FW_NONE;
	int64_t last_ms = entry->until_ms - entry->part_ms;
	bool last = last_ms >= entry->longest_ms;
	int at = snprintf(item, ITEM_BYTES, "%016" PRIx64 "/%u:%" PRId64,
	    entry->flow, entry->first, entry->until_ms - entry->since_ms);

	if (more > 0)
		at += snprintf(item + at, ITEM_BYTES - (size_t)at, "+%u", more);
	at += snprintf(item + at, ITEM_BYTES - (size_t)at, ":%s:%" PRId64,
	    fw_wait_name(last ? entry->cause.reason : entry->longest),
	    last ? last_ms : entry->longest_ms);
	if (worker != FW_NONE)
		snprintf(item + at, ITEM_BYTES - (size_t)at, "@%.64s",
		    tables->worker_states[worker].name);
}

/* Logs the waits that go on, by reason. Groups of one job that wait for the
 * same reason are one item, with the longest wait. */
static void
log_waiting(struct fw_waits *waits, const struct fw_tables *tables,
    uint64_t term, int64_t now_ms)
{
	struct line line = {.number = EV_FLOW_WAITS,
	    .field = "reason",
	    .term = term,
	    .untracked = waits->untracked};
	uint32_t due[FW_WAIT_COUNT] = {0};
	char item[ITEM_BYTES];
	uint32_t reason;
	uint32_t i;
	uint32_t n;

	for (i = 0; i < waits->count; i++)
		due[waits->entries[i].cause.reason] +=
		    is_due(&waits->entries[i], now_ms);
	for (reason = 0; reason < FW_WAIT_COUNT; reason++) {
		if (due[reason] == 0)
			continue;
		line.what = fw_wait_name((enum fw_wait)reason);
		for (i = 0; i < waits->count; i = n) {
			struct fw_wait_entry *entry = &waits->entries[i];
			const struct fw_wait_entry *longest = entry;

			n = i + 1;
			if (entry->cause.reason != reason ||
			    !is_due(entry, now_ms))
				continue;
			for (; n < waits->count &&
			     waits->entries[n].flow == entry->flow &&
			     waits->entries[n].cause.reason == reason &&
			     is_due(&waits->entries[n], now_ms);
			     n++)
				if (waits->entries[n].since_ms <
				    longest->since_ms)
					longest = &waits->entries[n];
			format_waiting(
			    tables, longest, n - i - 1, now_ms, item);
			if (!add_item(&line, item))
				return;
			line.tasks += n - i;
			if (now_ms - longest->since_ms > line.longest_ms)
				line.longest_ms = now_ms - longest->since_ms;
			for (; i < n; i++) {
				waits->entries[i].logged = true;
				waits->entries[i].logged_ms = now_ms;
				waits->entries[i].logged_reason =
				    (enum fw_wait)reason;
			}
		}
		if (!write_line(&line))
			return;
	}
}

/* Logs the waits that are over and are kept for that, by outcome. */
static void
log_over(struct fw_waits *waits, const struct fw_tables *tables, uint64_t term)
{
	static const char *const outcomes[] = {
	    "placed", "done", "not_ready", "job_ended"};
	struct line line = {.number = EV_FLOW_WAITS_OVER,
	    .field = "end",
	    .term = term,
	    .untracked = waits->untracked};
	char item[ITEM_BYTES];
	size_t o;
	uint32_t i;
	uint32_t n;

	for (o = 0; o < sizeof(outcomes) / sizeof(*outcomes); o++) {
		line.what = outcomes[o];
		for (i = 0; i < waits->count; i = n) {
			struct fw_wait_entry *entry = &waits->entries[i];
			const struct fw_wait_entry *longest = entry;
			int64_t ms;

			n = i + 1;
			if (!entry->over || !entry->logged ||
			    strcmp(entry->outcome, outcomes[o]) != 0)
				continue;
			for (; n < waits->count &&
			     waits->entries[n].flow == entry->flow &&
			     waits->entries[n].over &&
			     waits->entries[n].logged &&
			     strcmp(waits->entries[n].outcome, outcomes[o]) ==
				 0;
			     n++)
				if (waits->entries[n].since_ms <
				    longest->since_ms)
					longest = &waits->entries[n];
			format_over(tables, longest, n - i - 1, item);
			if (!add_item(&line, item))
				return;
			line.tasks += n - i;
			ms = longest->until_ms - longest->since_ms;
			if (ms > line.longest_ms)
				line.longest_ms = ms;
			for (; i < n; i++)
				waits->entries[i].logged = false;
		}
		if (!write_line(&line))
			return;
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
		log_waiting(waits, tables, term, view->now_ms);
		log_over(waits, tables, term);
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
