#include <stdlib.h>

#include "flow_internal.h"

/* Capacity is kept for at most so many waiting gangs at a time, with at most
 * this share of all accelerators, in thousandths, or a larger one for a single
 * gang, and only for those that could start within this time: what is kept is
 * idle until then. */
#define GANGS_MAX 4
#define ACCELS_MAX_MILLI 100
#define ACCELS_SINGLE_MAX_MILLI 400
#define START_MAX_MS 4000
/* Expected time to the end of a run that is being stopped, and the shortest one
 * of any other run: estimates are untrue. */
#define STOPPING_MS 300
#define REMAINING_MIN_MS 300
/* From this progress on, the time that a run has taken tells its remaining time
 * better than its estimate. */
#define PERCENT_MIN 10
#define FITS_UNKNOWN (-1)

/* The expected end of a run, which frees its part of a worker. */
struct fw_release {
	uint32_t host; /* index in the view */
	int64_t in_ms;
	const struct bd_flow_step *step;
};

static int compare_releases(const void *a, const void *b);
static bool collect_releases(
    struct fw_advance *advance, const struct fw_view *view);
static int64_t fits_in_ms(const struct fw_advance *advance,
    const struct fw_host_view *host, const struct bd_flow *flow,
    const struct bd_flow_step *step);
static int64_t choose_hosts(const struct fw_advance *advance,
    struct fw_view *view, const struct fw_group *group, uint32_t rack,
    uint32_t *hosts);

/* Returns the expected time until a run ends. */
int64_t
fw_run_left_ms(
    const struct fw_run *run, const struct bd_flow_step *step, int64_t now_ms)
{
	int64_t left_ms =
	    (int64_t)step->estimate_ms - (now_ms - run->placed_ms);

	if (run->stop_requested)
		return STOPPING_MS;
	if ((step->flags & BD_STEP_LONG_RUNNING) != 0)
		return INT64_MAX;
	if (run->percent >= PERCENT_MIN && run->percent < 100)
		left_ms = (run->progressed_ms - run->placed_ms) *
			(100 - (int64_t)run->percent) / run->percent -
		    (now_ms - run->progressed_ms);
	return left_ms < REMAINING_MIN_MS ? REMAINING_MIN_MS : left_ms;
}

/* Orders by worker, then by time. */
static int
compare_releases(const void *a, const void *b)
{
	const struct fw_release *x = a;
	const struct fw_release *y = b;

	if (x->host != y->host)
		return x->host < y->host ? -1 : 1;
	return (x->in_ms > y->in_ms) - (x->in_ms < y->in_ms);
}

/* Collects the expected ends of all runs, and where those of each worker begin.
 * Returns false if out of memory. */
static bool
collect_releases(struct fw_advance *advance, const struct fw_view *view)
{
	const struct fw_tables *tables = &advance->placer->tables;
	uint32_t host = 0;
	uint32_t i;

	if (advance->releases != NULL)
		return true;
	advance->releases =
	    calloc(tables->run_count + 1, sizeof(*advance->releases));
	advance->first = calloc(view->host_count + 1, sizeof(*advance->first));
	advance->fits = calloc(view->host_count + 1, sizeof(*advance->fits));
	if (advance->releases == NULL || advance->first == NULL ||
	    advance->fits == NULL) {
		fw_advance_end(advance);
		return false;
	}
	for (i = 0; i < tables->run_count; i++) {
		const struct fw_run *run = &tables->runs[i];
		struct fw_release *release = &advance->releases[advance->count];
		const struct bd_flow *flow;
		struct fw_task_ref ref;
		uint32_t job;

		if (!run->used || run->superseded_since_ms != 0 ||
		    run->phase == FW_PHASE_ENDED)
			continue;
		job = fw_view_job_index(view, run->flow);
		release->host = fw_view_host_index(
		    view, tables->worker_states[run->worker].host);
		if (job == FW_NONE || release->host == FW_NONE)
			continue;
		flow = fw_job_current(&view->jobs[job]);
		fw_task_ref_of(flow, run->index, &ref);
		release->step = &fw_flow_steps(flow)[ref.step];
		release->in_ms =
		    fw_run_left_ms(run, release->step, view->now_ms);
		advance->count++;
	}
	if (advance->count > 1)
		qsort(advance->releases, advance->count,
		    sizeof(*advance->releases), compare_releases);
	for (i = 0; i <= view->host_count; i++) {
		while (
		    host < advance->count && advance->releases[host].host < i)
			host++;
		advance->first[i] = host;
	}
	return true;
}

/* Returns the expected time until one task fits on a worker, INT64_MAX if it
 * never does. */
static int64_t
fits_in_ms(const struct fw_advance *advance, const struct fw_host_view *host,
    const struct bd_flow *flow, const struct bd_flow_step *step)
{
	struct fw_host_view later = *host;
	uint32_t index = (uint32_t)(host - advance->hosts);
	uint32_t i;

	if (fw_host_fits(&later, flow, step))
		return 0;
	for (i = advance->first[index]; i < advance->first[index + 1]; i++) {
		if (advance->releases[i].in_ms > START_MAX_MS)
			break;
		fw_host_adjust_free(&later, advance->releases[i].step, 1);
		if (fw_host_fits(&later, flow, step))
			return advance->releases[i].in_ms;
	}
	return INT64_MAX;
}

/* Chooses for each task the worker that can take it first, and subtracts the
 * task from it. Returns the time until the last one fits; INT64_MAX, with
 * nothing subtracted, if one does not. */
static int64_t
choose_hosts(const struct fw_advance *advance, struct fw_view *view,
    const struct fw_group *group, uint32_t rack, uint32_t *hosts)
{
	int64_t *fits = advance->fits; /* by worker, or FITS_UNKNOWN */
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_flow_step *step = &fw_flow_steps(flow)[group->step];
	int64_t last_ms = 0;
	uint32_t n;
	uint32_t i;
	uint32_t end = fw_view_rack_hosts(view, rack, &i);

	for (; i < end; i++)
		fits[i] = FITS_UNKNOWN;
	fw_group_count_tasks(view, group);
	for (n = 0; n < group->count; n++) {
		int64_t best_ms = INT64_MAX;

		fw_view_rack_hosts(view, rack, &i);
		view->hosts_scanned += end - i;
		hosts[n] = FW_NONE;
		for (; i < end && best_ms > 0; i++) {
			const struct fw_host_view *host = &view->hosts[i];

			if ((step->host_max > 0 &&
				host->same_step_tasks >= step->host_max) ||
			    !fw_group_may_use(view, host, group))
				continue;
			if (fits[i] == FITS_UNKNOWN)
				fits[i] = fits_in_ms(advance, host, flow, step);
			if (fits[i] < best_ms) {
				best_ms = fits[i];
				hosts[n] = i;
			}
		}
		if (hosts[n] == FW_NONE)
			break;
		fw_host_adjust_free(&view->hosts[hosts[n]], step, -1);
		view->hosts[hosts[n]].same_step_tasks++;
		fits[hosts[n]] = FITS_UNKNOWN;
		last_ms = best_ms > last_ms ? best_ms : last_ms;
	}
	if (n == group->count)
		return last_ms;
	while (n > 0)
		fw_host_adjust_free(&view->hosts[hosts[--n]], step, 1);
	return INT64_MAX;
}

/*
 * Keeps the capacity on which a waiting gang can start first from the groups
 * that come after it in this decision, unless most of its service is free: what
 * is kept may be all that others can use. Load answered: wide gangs on a full
 * deployment, where small tasks of lower priority took each accelerator that
 * came free, so that a gang never found all of its workers at once.
 */
void
fw_advance_for_group(struct fw_advance *advance, struct fw_view *view,
    const struct fw_group *group)
{
	const struct bd_flow_step *step = &fw_flow_steps(
	    fw_job_current(&view->jobs[group->job]))[group->step];
	uint64_t need = (uint64_t)group->count * step->accels;
	uint32_t hosts[FW_TASKS_MAX];
	uint32_t n;
	int64_t in_ms = INT64_MAX;
	uint32_t rack;

	if (group->count < 2 || group->too_late || group->suspect ||
	    group->service == FW_NONE || group->ample ||
	    advance->gangs >= GANGS_MAX ||
	    (advance->accels + need) * 1000 >
		view->services[group->service].accel_total *
		    (advance->gangs == 0 ? ACCELS_SINGLE_MAX_MILLI
					 : ACCELS_MAX_MILLI) ||
	    !collect_releases(advance, view))
		return;
	advance->hosts = view->hosts;
	if ((step->flags & BD_STEP_SAME_RACK) != 0) {
		uint32_t best = FW_NO_RACK;

		for (rack = 0; rack < view->rack_count; rack++) {
			int64_t own_ms =
			    choose_hosts(advance, view, group, rack, hosts);

			if (own_ms == INT64_MAX)
				continue;
			for (n = 0; n < group->count; n++)
				fw_host_adjust_free(
				    &view->hosts[hosts[n]], step, 1);
			if (own_ms < in_ms) {
				in_ms = own_ms;
				best = rack;
			}
		}
		if (best != FW_NO_RACK)
			choose_hosts(advance, view, group, best, hosts);
	} else if (step->data_rack[0] == '\0')
		in_ms = choose_hosts(advance, view, group, FW_ANY_RACK, hosts);
	if (in_ms == INT64_MAX)
		return;
	fw_group_note_kept(view, group, hosts);
	advance->gangs++;
	advance->accels += need;
}

/* Frees what the decision has collected. */
void
fw_advance_end(struct fw_advance *advance)
{
	free(advance->releases);
	free(advance->first);
	free(advance->fits);
	advance->fits = NULL;
	advance->releases = NULL;
	advance->first = NULL;
	advance->count = 0;
}
