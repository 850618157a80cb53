#include <string.h>

#include "evacuation.h"
#include "flow_internal.h"

/* One worker in the view of a decision. */

static bool has_free(
    const struct fw_host_view *host, const struct bd_flow_step *step);

/* Sets what a worker's entry and the evacuations say of it. */
void
fw_host_describe(struct fw_host_view *host, const struct fw_view *view,
    const struct bd_host *row)
{
	host->row = row;
	host->cores_milli = row->cores_milli;
	host->memory_mb = row->memory_mb;
	host->accels = row->accels;
	host->evacuated = fw_zone_evacuated(view->board, row->zone);
	host->cold = view->settings->cold_overage_milli > 1000 &&
	    row->cold_until_ms > view->now_ms;
	host->schedulable = row->leaving == 0 && !host->evacuated;
}

/* Subtracts the resources of one task of a step from the free capacity of a
 * worker with sign -1, and adds them with sign 1. */
void
fw_host_adjust_free(
    struct fw_host_view *host, const struct bd_flow_step *step, int sign)
{
	if ((step->flags & BD_STEP_FILLS) == 0)
		host->cores_milli += sign * (int64_t)step->cores_milli;
	host->memory_mb += sign * (int64_t)step->memory_mb;
	host->accels += sign * (int64_t)step->accels;
}

/* Notes that capacity which has been subtracted is kept for a task of a step
 * that still waits. */
void
fw_host_note_kept(struct fw_host_view *host, const struct bd_flow_step *step)
{
	if ((step->flags & BD_STEP_FILLS) == 0)
		host->kept.cores_milli += step->cores_milli;
	host->kept.memory_mb += step->memory_mb;
	host->kept.accels += step->accels;
}

/* Returns whether what is free on a worker is enough for a task of a step. */
static bool
has_free(const struct fw_host_view *host, const struct bd_flow_step *step)
{
	return ((step->flags & BD_STEP_FILLS) != 0 ||
		   host->cores_milli >= (int64_t)step->cores_milli) &&
	    host->memory_mb >= (int64_t)step->memory_mb &&
	    host->accels >= (int64_t)step->accels;
}

/* Returns whether one more task of a step fits into what is free on a worker,
 * and beside the starts that the worker may still carry out if it starts again.
 */
bool
fw_host_has_room(const struct fw_host_view *host, const struct bd_flow *flow,
    const struct bd_flow_step *step)
{
	const struct bd_host *row = host->row;
	struct fw_host_view late = {.cores_milli = row->cores_milli,
	    .memory_mb = row->memory_mb,
	    .accels = row->accels};

	late.cores_milli -= host->late.cores_milli;
	late.memory_mb -= host->late.memory_mb;
	late.accels -= host->late.accels;
	return host->schedulable && row->pool == flow->pool &&
	    has_free(host, step) && has_free(&late, step) &&
	    (step->label[0] == '\0' || strcmp(step->label, row->kind) == 0 ||
		strcmp(step->label, row->rack) == 0);
}

/* Returns whether one more task of a step fits on a worker. A worker on which a
 * suspect job is tried takes no other job; one that is only kept for a trial
 * takes jobs of priority 0. */
bool
fw_host_fits(const struct fw_host_view *host, const struct bd_flow *flow,
    const struct bd_flow_step *step)
{
	return (host->trial == 0 || host->trial == flow->id ||
		   (flow->priority == 0 && host->tenant == 0)) &&
	    fw_host_has_room(host, flow, step);
}

/* Returns how many tasks of a step would fit on a worker if it were idle: none
 * if it drains or its zone is evacuated. */
uint32_t
fw_host_task_capacity(const struct fw_host_view *host,
    const struct bd_flow *flow, const struct bd_flow_step *step)
{
	const struct bd_host *row = host->row;
	struct fw_host_view idle = {.row = row,
	    .cores_milli = row->cores_milli,
	    .memory_mb = row->memory_mb,
	    .accels = row->accels,
	    .schedulable = row->leaving == 0 && !host->evacuated};
	uint32_t most = step->host_max > 0 ? step->host_max : step->count;
	uint32_t n = 0;

	while (n < most && fw_host_fits(&idle, flow, step)) {
		fw_host_adjust_free(&idle, step, -1);
		n++;
	}
	return n;
}

/* Notes that a worker has a task of a job. */
void
fw_host_add_tenant(struct fw_host_view *host, uint64_t job)
{
	host->shared =
	    host->shared || (host->tenant != 0 && host->tenant != job);
	host->tenant = job;
}
