#include <string.h>

#include "flow_internal.h"

/* Rows of a worker's lists that could not be read. Such a row may be that of a
 * run that the lists do not name, so the absence of that run shows nothing: the
 * worker is asked, with the start once more, which it answers without any
 * effect if it has the run or had it. */

/* Time between two such questions. */
#define ASK_MS 1000
/* A stop is complete within this time after its answer, and a list that was
 * asked for later shows its end. */
#define STOPPED_MS 1000

static bool may_be_of(const struct fw_task_ref *task, bool run_is_known,
    const struct fw_task_ref *wanted);

/* Returns whether a row may be that of a run of a task. */
static bool
may_be_of(const struct fw_task_ref *task, bool run_is_known,
    const struct fw_task_ref *wanted)
{
	if (task->job[0] == '\0')
		return true;
	return !run_is_known && task->occurrence == wanted->occurrence &&
	    task->step == wanted->step && task->index == wanted->index &&
	    strcmp(task->job, wanted->job) == 0;
}

/* Returns whether a list may have a run of a task in a row that could not be
 * read. */
bool
fw_report_may_hide(
    const struct fw_report *report, const struct fw_task_ref *task)
{
	uint32_t i;

	if (report->unread_rows == 0)
		return false;
	for (i = 0; i < report->run_count; i++)
		if (may_be_of(
			&report->runs[i].task, report->runs[i].run > 0, task))
			return true;
	for (i = 0; i < report->end_count; i++)
		if (may_be_of(
			&report->ends[i].task, report->ends[i].run > 0, task))
			return true;
	return false;
}

/* Returns whether a worker's list does not tell whether the worker has a run
 * that it does not name. */
bool
fw_run_is_hidden(const struct fw_run *run, const struct fw_report *report)
{
	if (run->refused_as_over ||
	    (run->stop_acked &&
		report->sent_ms > run->listed_from_ms + STOPPED_MS))
		return false;
	return fw_report_may_hide(report, &run->task);
}

/* Notes that a list may hide a run; its worker is to be asked. */
void
fw_run_note_hidden(struct fw_run *run, int64_t now_ms)
{
	if (run->ask_ms == 0)
		run->ask_ms = now_ms + ASK_MS;
}

/* Returns whether the worker of a run is to be asked whether it has it. */
bool
fw_run_is_asked_for(const struct fw_run *run, int64_t now_ms)
{
	return run->phase == FW_PHASE_RUNNING && !run->stop_requested &&
	    run->ask_ms != 0 && now_ms >= run->ask_ms;
}

/* Returns whether a listed end, whose number could not be read, is before one
 * with a number of up to last: numbers ascend. */
bool
fw_report_is_before(
    const struct fw_report *report, uint32_t index, uint64_t last)
{
	uint32_t i;

	for (i = index + 1; i < report->end_count; i++)
		if (report->ends[i].number > 0)
			return report->ends[i].number <= last;
	return false;
}

/* Returns the number of the latest listed end that could be read, 0: none. */
uint64_t
fw_report_last_number(const struct fw_report *report)
{
	uint32_t i;

	for (i = report->end_count; i > 0; i--)
		if (report->ends[i - 1].number > 0)
			return report->ends[i - 1].number;
	return 0;
}
