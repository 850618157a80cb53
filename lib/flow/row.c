#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

static int check_steps(const struct fw_job_spec *spec, uint64_t *tasks);

/* Returns an array of step_count steps. */
const struct bd_flow_step *
fw_flow_steps(const struct bd_flow *flow)
{
	return (const struct bd_flow_step *)flow->data;
}

/* Returns the number of tasks of a job, summed over its occurrences. */
uint32_t
fw_flow_task_count(const struct bd_flow *flow)
{
	return flow->step_tasks * flow->occurrences;
}

/* Returns the tasks of a job, in a row or in a copy of one. Only the tasks of a
 * copy may be changed. */
struct bd_step_task *
fw_flow_tasks(const struct bd_flow *flow)
{
	return (struct bd_step_task *)((uintptr_t)flow->data +
	    flow->step_count * sizeof(struct bd_flow_step));
}

/* Returns the text that is passed to the tasks: text_bytes bytes without a
 * terminating NUL. */
const char *
fw_flow_text(const struct bd_flow *flow)
{
	return (const char *)(fw_flow_tasks(flow) + fw_flow_task_count(flow));
}

/* Returns the size of a row in bytes. */
size_t
fw_flow_bytes(const struct bd_flow *flow)
{
	return sizeof(*flow) + flow->step_count * sizeof(struct bd_flow_step) +
	    fw_flow_task_count(flow) * sizeof(struct bd_step_task) +
	    flow->text_bytes + flow->checkpoint_bytes;
}

/* Returns whether the state of a job is final. */
bool
fw_flow_ended(const struct bd_flow *flow)
{
	return flow->state >= BD_FLOW_COMPLETED;
}

/* Returns the state of a job as callers see it: cancelled if a cancellation was
 * stored before the job's end was published. */
uint32_t
fw_flow_public_state(const struct bd_flow *flow)
{
	if (flow->public_state < BD_FLOW_COMPLETED && flow->cancelled != 0)
		return BD_FLOW_CANCELLED;
	return flow->public_state;
}

/* Returns whether a job has ended and none of its tasks may still be running.
 */
bool
fw_flow_drained(const struct bd_flow *flow)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	if (!fw_flow_ended(flow))
		return false;
	for (i = 0; i < count; i++)
		if (tasks[i].state == BD_STEP_TASK_PLACED)
			return false;
	return true;
}

/* Makes the compacted row of an ended job. It keeps the job's name, ids and
 * state; one empty step and task replace all others, as a VM reads the rows of
 * all jobs when it starts. The caller frees the row. Returns NULL when out of
 * memory. */
struct bd_flow *
fw_flow_compact(const struct bd_flow *flow)
{
	struct bd_flow *row = calloc(1,
	    sizeof(*row) + sizeof(struct bd_flow_step) +
		sizeof(struct bd_step_task));
	struct bd_flow_step *step;

	if (row == NULL)
		return NULL;
	*row = *flow;
	row->compacted = 1;
	row->occurrences = row->step_count = row->step_tasks = 1;
	row->text_bytes = row->checkpoint_bytes = 0;
	step = (struct bd_flow_step *)row->data;
	step->count = 1;
	return row;
}

/* Parses the name of a job, 16 hexadecimal digits, into its id. Returns false
 * for any other name. */
bool
fw_flow_id_parse(const char *name, uint64_t *id)
{
	size_t i;

	*id = 0;
	for (i = 0; name[i] != '\0'; i++) {
		char c = name[i];
		uint64_t digit;

		if (c >= '0' && c <= '9')
			digit = (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			digit = (uint64_t)(c - 'a') + 10;
		else if (c >= 'A' && c <= 'F')
			digit = (uint64_t)(c - 'A') + 10;
		else
			return false;
		*id = *id << 4 | digit;
	}
	return i == 16;
}

/* Checks the steps of a job and sets *tasks to the number of tasks of one
 * occurrence. Returns FW_EBADJOB. */
static int
check_steps(const struct fw_job_spec *spec, uint64_t *tasks)
{
	uint32_t i;

	*tasks = 0;
	for (i = 0; i < spec->step_count; i++) {
		const struct bd_flow_step *step = &spec->steps[i];

		if (step->count == 0)
			return cw_error_set(
			    FW_EBADJOB, "step %u has no tasks", i);
		if (step->after >> i != 0)
			return cw_error_set(FW_EBADJOB,
			    "step %u waits for a step that is not before it",
			    i);
		*tasks += step->count;
	}
	if (*tasks * spec->occurrences > FW_TASKS_MAX)
		return cw_error_set(FW_EBADJOB,
		    "the job has %llu tasks, at most %d are possible",
		    (unsigned long long)*tasks * spec->occurrences,
		    FW_TASKS_MAX);
	return CW_OK;
}

/*
 * Builds the row of a new job, which the caller frees. Returns FW_EBADJOB, with
 * a message for the caller, or FW_ENOMEM.
 */
int
fw_flow_build(
    const struct fw_job_spec *spec, struct bd_flow **out, size_t *bytes)
{
	struct bd_flow *flow;
	struct bd_flow_step *steps;
	uint64_t tasks;
	uint64_t id;
	uint32_t i;
	uint32_t first = 0;
	int code;

	if (!fw_flow_id_parse(spec->name, &id))
		return cw_error_set(
		    FW_EBADJOB, "a job's name has 16 hexadecimal digits");
	if (spec->step_count == 0 || spec->step_count > FW_STEPS_MAX ||
	    spec->occurrences == 0 || spec->occurrences > FW_TASKS_MAX ||
	    spec->text_bytes > FW_TEXT_BYTES_MAX)
		return cw_error_set(FW_EBADJOB,
		    "a job has 1 to %d steps and a text of up to %d bytes",
		    FW_STEPS_MAX, FW_TEXT_BYTES_MAX);
	code = check_steps(spec, &tasks);
	if (code != CW_OK)
		return code;
	*bytes = sizeof(*flow) + spec->step_count * sizeof(*steps) +
	    tasks * spec->occurrences * sizeof(struct bd_step_task) +
	    spec->text_bytes;
	flow = calloc(1, *bytes);
	if (flow == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for a job");
	flow->id = id;
	flow->queue = spec->queue->id;
	flow->pool = spec->queue->pool;
	flow->client = spec->client;
	flow->accepted_ms = flow->changed_ms = spec->accepted_ms;
	flow->first_due_ms = spec->first_due_ms;
	flow->interval_ms = spec->interval_ms;
	memcpy(flow->name, spec->name, strlen(spec->name));
	flow->priority = spec->queue->priority;
	flow->attempts_max = spec->queue->attempts_max;
	flow->stretch_milli = spec->queue->stretch_milli;
	flow->target_ms = spec->queue->target_ms;
	flow->occurrences = spec->occurrences;
	flow->step_count = spec->step_count;
	flow->step_tasks = (uint32_t)tasks;
	flow->text_bytes = spec->text_bytes;
	steps = (struct bd_flow_step *)flow->data;
	memcpy(steps, spec->steps, spec->step_count * sizeof(*steps));
	for (i = 0; i < spec->step_count; i++) {
		steps[i].first_task = first;
		first += steps[i].count;
	}
	memcpy((char *)(uintptr_t)fw_flow_text(flow), spec->text,
	    spec->text_bytes);
	assert(fw_flow_bytes(flow) == *bytes);
	*out = flow;
	return CW_OK;
}

/* Sets *index to the index of a task in its job's row. Returns false if the job
 * has no such task. */
bool
fw_task_index(
    const struct bd_flow *flow, const struct fw_task_ref *ref, uint32_t *index)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);

	if (ref->occurrence >= flow->occurrences ||
	    ref->step >= flow->step_count ||
	    ref->index >= steps[ref->step].count)
		return false;
	*index = ref->occurrence * flow->step_tasks +
	    steps[ref->step].first_task + ref->index;
	return true;
}

/* Sets *ref to the task at an index of its job's row. */
void
fw_task_ref_of(
    const struct bd_flow *flow, uint32_t index, struct fw_task_ref *ref)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	uint32_t in_occurrence = index % flow->step_tasks;
	uint32_t step = 0;

	assert(index < fw_flow_task_count(flow));
	while (step + 1 < flow->step_count &&
	    steps[step + 1].first_task <= in_occurrence)
		step++;
	memcpy(ref->job, flow->name, sizeof(ref->job));
	ref->occurrence = index / flow->step_tasks;
	ref->step = step;
	ref->index = in_occurrence - steps[step].first_task;
}
