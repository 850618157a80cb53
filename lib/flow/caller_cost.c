#include "caller_cost.h"

#include "flow_internal.h"

/* A task that lasts comes before all but priority 0 after this wait: it has to
 * run within 3 s however full its service is. */
#define LASTING_WAIT_MS 1500

/* Largest share of a service's accelerators that is left to waiting groups of
 * other priorities than 0, in thousandths. The rest serves lower priorities
 * however many jobs of a higher one wait. */
#define TIMELY_BACKLOG_MAX_MILLI 400

/* A job that completes later than this multiple of its completion target is of
 * no use to its caller. */
#define USEFUL_TARGET_FACTOR 3

/* Stops after which the cost of one more does not double any further. */
#define DOUBLINGS_MAX 16

/* Groups that were passed over for longer than their target come first in their
 * rank in one of so many slots of time of this length. With all of the time,
 * what was late already took the capacity of what could still be in time: in
 * trials the mean value fell from 0.59 to 0.53 with a third of the workers
 * lost, and from 0.82 to 0.71 beside a reclaimed guarantee. */
#define AGED_SLOT_MS 250
#define AGED_SLOTS 16

/* Work of a job that is done and saved is worth as much time in the order, up
 * to this. With an order by saved work alone, jobs in hand with ample time
 * would come before new ones that are about to miss their target. */
#define SAVED_MAX_MS 2000

static int64_t saved_ms(
    const struct bd_flow *flow, uint32_t first, uint32_t count, uint32_t step);
static int64_t order_ms(const struct fw_group *group);
static int64_t estimate_run_ms(const struct bd_flow *flow);
static int64_t target_ms(const struct bd_flow *flow);
static bool is_useless(int64_t age_ms, int64_t left_ms, int64_t target_ms,
    const struct fw_settings *settings);
static uint32_t rank(const struct fw_group *group);
static uint32_t level_of(const struct fw_group *group);

/* Returns the estimated run time of a job, in ms: the sum over its first step
 * and the steps with dependencies, as if these ran one after another. */
static int64_t
estimate_run_ms(const struct bd_flow *flow)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	int64_t run_ms = 0;
	uint32_t s;

	for (s = 0; s < flow->step_count; s++)
		if (s == 0 || steps[s].after != 0)
			run_ms += steps[s].estimate_ms;
	return run_ms;
}

/* Returns the completion target of a job, in ms after its acceptance. */
static int64_t
target_ms(const struct bd_flow *flow)
{
	int64_t run_ms = estimate_run_ms(flow);

	/* Their product may have more than 64 bits. */
	return run_ms / 1000 * flow->stretch_milli +
	    run_ms % 1000 * flow->stretch_milli / 1000 + flow->target_ms;
}

/* Returns whether a job that needs left_ms more is of no use to its caller. No
 * job counts as such before twice the start limit of guaranteed jobs, as it may
 * have a guarantee until then. */
static bool
is_useless(int64_t age_ms, int64_t left_ms, int64_t target_ms,
    const struct fw_settings *settings)
{
	return age_ms + left_ms > target_ms * USEFUL_TARGET_FACTOR &&
	    age_ms > (int64_t)settings->reclaim_ms * 2;
}

/* Returns how much work of a group's job is done and saved, in ms of its
 * estimated run time: the steps before in its occurrence, and a quarter of its
 * own step if its tasks have checkpoints, whose progress is not stored. */
static int64_t
saved_ms(
    const struct bd_flow *flow, uint32_t first, uint32_t count, uint32_t step)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t base = first / flow->step_tasks * flow->step_tasks;
	int64_t saved = 0;
	uint32_t i;

	for (i = 0; i < step; i++)
		if (tasks[base + steps[i].first_task].state ==
		    BD_STEP_TASK_DONE)
			saved += steps[i].estimate_ms;
	for (i = first; i < first + count; i++)
		if (tasks[i].checkpoint.bytes > 0)
			return saved + steps[step].estimate_ms / 4;
	return saved;
}

/* Computes how long a job can wait and still meet its completion target, and
 * whether it is too late to be useful; one that lasts never is. */
void
fw_group_set_limits(struct fw_group *group, const struct bd_flow *flow,
    int64_t wall_ms, const struct fw_settings *settings)
{
	int64_t run_ms = estimate_run_ms(flow);
	int64_t target = target_ms(flow);

	group->slack_ms = target - run_ms - group->age_ms;
	group->saved_ms = 0;
	group->aged = false;
	if ((settings->rules_off & FW_RULE_ORDER) == 0) {
		group->saved_ms =
		    saved_ms(flow, group->first, group->count, group->step);
		group->aged = group->priority != 0 &&
		    group->waited_ms > target &&
		    wall_ms / AGED_SLOT_MS % AGED_SLOTS == 0;
	}
	group->too_late = !group->lasts &&
	    is_useless(group->age_ms, run_ms, target, settings);
}

/* Returns what a job can still earn for its caller if a run of it, which needs
 * run_left_ms more, continues. */
enum fw_earning
fw_flow_earning(const struct bd_flow *flow, uint32_t index, int64_t run_left_ms,
    int64_t wall_ms, const struct fw_settings *settings)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	int64_t age_ms = wall_ms - flow->accepted_ms;
	int64_t left_ms = run_left_ms;
	struct fw_task_ref ref;
	uint32_t s;

	fw_task_ref_of(flow, index, &ref);
	if ((steps[ref.step].flags & BD_STEP_LONG_RUNNING) != 0)
		return FW_EARNS_FULLY;
	tasks += ref.occurrence * flow->step_tasks;
	/* A step begins after those that it depends on. */
	for (s = ref.step + 1; s < flow->step_count; s++)
		if (steps[s].after != 0 &&
		    tasks[steps[s].first_task].state != BD_STEP_TASK_DONE)
			left_ms += steps[s].estimate_ms;
	if (age_ms + left_ms <= target_ms(flow))
		return FW_EARNS_FULLY;
	return is_useless(age_ms, left_ms, target_ms(flow), settings)
	    ? FW_EARNS_NOTHING
	    : FW_EARNS_LATE;
}

/*
 * Returns what the stop of a group costs its caller: the work that is lost.
 * Each earlier stop for the sake of others doubles it, so that the same job is
 * not chosen again and again as the one that has lost most already. Whether the
 * job is late does not lower it: estimates are off by up to 0.9, and a discount
 * let urgent jobs stop many runs that could still be in time.
 */
uint64_t
fw_stop_cost(uint64_t loss, uint32_t stops)
{
	return loss << (stops < DOUBLINGS_MAX ? stops : DOUBLINGS_MAX);
}

/* Returns the priority of a group in the placement order: 0, then tasks that
 * last and have waited for long, then the others. */
static uint32_t
rank(const struct fw_group *group)
{
	if (group->priority == 0)
		return 0;
	if (group->lasts && group->waited_ms > LASTING_WAIT_MS)
		return 1;
	return group->priority + 1;
}

/* Returns the slack by which groups are ordered: less with saved work. */
static int64_t
order_ms(const struct fw_group *group)
{
	return group->slack_ms -
	    (group->saved_ms < SAVED_MAX_MS ? group->saved_ms : SAVED_MAX_MS);
}

/*
 * Placement order. Jobs that are too late to be useful come last. The others
 * are ordered by rank; then jobs that can still meet their target come before
 * those that cannot; then by least slack, less the work that is done and saved.
 * Under overload this completes the most jobs of a priority in time, and first
 * those whose work would otherwise be idle. In a part of the time groups that
 * were passed over for long come first in their rank, useless ones as well, so
 * that none is forgotten under a lasting load. The size of a group is not
 * looked at: an order by size starves the largest jobs.
 */
int
fw_group_compare(const struct fw_group *x, const struct fw_group *y)
{
	bool x_useless = x->too_late && !x->aged;
	bool y_useless = y->too_late && !y->aged;

	if (x_useless != y_useless)
		return x_useless ? 1 : -1;
	if (rank(x) != rank(y))
		return rank(x) < rank(y) ? -1 : 1;
	if (x->aged != y->aged)
		return x->aged ? -1 : 1;
	if ((x->slack_ms < 0) != (y->slack_ms < 0))
		return x->slack_ms < 0 ? 1 : -1;
	if (order_ms(x) != order_ms(y))
		return order_ms(x) < order_ms(y) ? -1 : 1;
	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return (x->first > y->first) - (x->first < y->first);
}

/* Returns the level at which the backlog of a group's priority is counted. */
static uint32_t
level_of(const struct fw_group *group)
{
	return group->priority < FW_PRIORITY_LEVELS ? group->priority
						    : FW_PRIORITY_LEVELS - 1;
}

/* Adds a group that does not fit to the backlog of its service. A group of
 * another priority than 0 counts only while it can still meet its target, and
 * only if it waits for free capacity: a suspect or bound one waits for a
 * particular worker. */
void
fw_backlog_add(struct fw_service_view *service, const struct fw_group *group,
    int64_t accels, uint32_t rules_off)
{
	if (group->too_late)
		return;
	if (group->priority == 0)
		service->urgent_backlog += accels;
	else if (group->slack_ms >= 0 && !group->suspect && !group->bound &&
	    (rules_off & FW_RULE_LEAVE_TIMELY) == 0)
		service->timely_backlog[level_of(group)] += accels;
}

/*
 * Returns how many accelerators a group leaves free for the groups of higher
 * priority that wait in its service: all that priority 0 needs, and what the
 * other ones need up to a share of the service. Without it, small tasks of low
 * priority took every accelerator that became free, and gangs of higher
 * priority never found enough of them together. A group that was passed over
 * for long leaves free only what priority 0 needs. Load answered: bursts of all
 * priorities on a full deployment.
 */
int64_t
fw_backlog_before(
    const struct fw_service_view *service, const struct fw_group *group)
{
	int64_t most =
	    (int64_t)service->accel_total * TIMELY_BACKLOG_MAX_MILLI / 1000;
	int64_t timely = 0;
	uint32_t i;

	if (group->priority == 0)
		return 0;
	for (i = 1; i < level_of(group) && !group->aged; i++)
		timely += service->timely_backlog[i];
	return service->urgent_backlog + (timely < most ? timely : most);
}
