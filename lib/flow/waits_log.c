#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "flow_internal.h"

/* Time between two lines about one group. */
#define LOGGED_AGAIN_MS 1000
/* A wait is logged without a cause if none was looked for by this time. */
#define EXPLAINED_MAX_MS 2000
/* Lines of one event that are written at a time: fewer in a second than the log
 * takes, see lib/base/event_stdout.c. What is left follows with the next ones.
 */
#define FLUSH_LINES_MAX 13
/* Fits with the other fields into a line of the log. */
#define JOBS_BYTES 860
#define ITEM_BYTES 160

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

static bool is_due(const struct fw_wait_entry *entry, int64_t now_ms);
static bool write_line(struct line *line);
static bool add_item(struct line *line, const char *item);
static void format_waiting(const struct fw_tables *tables,
    const struct fw_wait_entry *entry, uint32_t more, int64_t now_ms,
    char item[ITEM_BYTES]);
static void format_over(const struct fw_tables *tables,
    const struct fw_wait_entry *entry, uint32_t more, char item[ITEM_BYTES]);

/* Returns whether a line is due about a wait that goes on. */
static bool
is_due(const struct fw_wait_entry *entry, int64_t now_ms)
{
	if (entry->over ||
	    (!entry->explained && now_ms - entry->since_ms < EXPLAINED_MAX_MS))
		return false;
	if (!entry->logged)
		return now_ms - entry->since_ms >= FW_WAIT_LOGGED_MS;
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
void
fw_waits_log_waiting(struct fw_waits *waits, const struct fw_tables *tables,
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
void
fw_waits_log_over(
    struct fw_waits *waits, const struct fw_tables *tables, uint64_t term)
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
