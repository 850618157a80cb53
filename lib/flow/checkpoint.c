#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Checkpoints are texts of workers, of any length. A job's row holds those of
 * its tasks behind its own text; the members of a gang share one. */

static const char *checkpoints(const struct bd_flow *flow);

static const char *
checkpoints(const struct bd_flow *flow)
{
	return fw_flow_text(flow) + flow->text_bytes;
}

/* Returns the checkpoint of a task, task->checkpoint.bytes bytes without a
 * terminator. */
const char *
fw_task_checkpoint(const struct bd_flow *flow, const struct bd_step_task *task)
{
	return task->checkpoint.bytes > 0
	    ? checkpoints(flow) + task->checkpoint.at
	    : "";
}

/* Removes the checkpoints of all tasks from a copy of a row. */
void
fw_checkpoints_clear(struct bd_flow *flow)
{
	struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	for (i = 0; i < count; i++)
		tasks[i].checkpoint = (struct bd_text){0, 0};
	flow->checkpoint_bytes = 0;
}

/* Appends a checkpoint to those of a copy of a row, which has room for it. One
 * that equals *last, the latest one that was appended, is stored once. */
struct bd_text
fw_checkpoint_append(struct bd_flow *flow, const struct bd_text *last,
    const char *text, uint32_t bytes)
{
	struct bd_text added = {flow->checkpoint_bytes, bytes};

	if (bytes == 0)
		return (struct bd_text){0, 0};
	if (last->bytes == bytes &&
	    memcmp(checkpoints(flow) + last->at, text, bytes) == 0)
		return *last;
	memcpy((char *)(uintptr_t)checkpoints(flow) + added.at, text, bytes);
	flow->checkpoint_bytes += bytes;
	return added;
}

/* Grows a copy of a row by room for checkpoints of so many bytes. *flow may
 * move. Returns FW_ENOMEM, with the copy unchanged. */
int
fw_checkpoints_reserve(struct bd_flow **flow, size_t bytes)
{
	struct bd_flow *grown = realloc(*flow, fw_flow_bytes(*flow) + bytes);

	if (grown == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for a checkpoint");
	*flow = grown;
	return CW_OK;
}

/*
 * Notes in a copy of a job's row the checkpoint of a task's run, for all
 * members of its gang: the next run resumes from it. An empty one changes
 * nothing. The checkpoint before it keeps its place until the row is decoded
 * anew. *flow may move. Returns FW_ENOMEM, with the copy unchanged.
 */
int
fw_checkpoint_note(
    struct bd_flow **flow, uint32_t index, const char *text, uint32_t bytes)
{
	struct bd_step_task *tasks = fw_flow_tasks(*flow);
	struct bd_text noted = tasks[index].checkpoint;
	uint32_t first;
	uint32_t count;
	uint32_t i;

	if (bytes == 0)
		return CW_OK;
	if (noted.bytes != bytes ||
	    memcmp(fw_task_checkpoint(*flow, &tasks[index]), text, bytes) !=
		0) {
		if (fw_checkpoints_reserve(flow, bytes) != CW_OK)
			return FW_ENOMEM;
		noted = fw_checkpoint_append(
		    *flow, &(struct bd_text){0, 0}, text, bytes);
	}
	tasks = fw_flow_tasks(*flow);
	fw_group_of(*flow, index, &first, &count);
	for (i = first; i < first + count; i++)
		tasks[i].checkpoint = noted;
	return CW_OK;
}

/* Returns a text of a report, text->bytes bytes without a terminator. */
const char *
fw_report_text(const struct fw_report *report, const struct bd_text *text)
{
	return text->bytes > 0 ? report->texts + text->at : "";
}

/* Keeps the checkpoint that a worker lists of a run. An empty one changes
 * nothing; without memory, the one before it stays. */
void
fw_run_keep_checkpoint(struct fw_run *run, const struct fw_report *report,
    const struct bd_text *listed)
{
	const char *text = fw_report_text(report, listed);
	char *kept;

	if (listed->bytes == 0 ||
	    (listed->bytes == run->checkpoint_bytes &&
		memcmp(text, run->checkpoint, listed->bytes) == 0))
		return;
	kept = realloc(run->checkpoint, listed->bytes);
	if (kept == NULL) {
		ev_emit(EV_FLOW_NO_MEMORY, "what=checkpoint");
		return;
	}
	memcpy(kept, text, listed->bytes);
	run->checkpoint = kept;
	run->checkpoint_bytes = listed->bytes;
}

/* Frees the checkpoint of a run. */
void
fw_run_drop_checkpoint(struct fw_run *run)
{
	free(run->checkpoint);
	run->checkpoint = NULL;
	run->checkpoint_bytes = 0;
}
