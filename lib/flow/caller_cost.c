#include "caller_cost.h"

#include "flow_internal.h"

/* A task that lasts comes before all but priority 0 after this wait: it has to
 * run within 3 s however full its service is. */
#define LASTING_WAIT_MS 1500

/* Largest share of a service's accelerators that is left to waiting groups of
 * other priorities than 0, in thousandths. The rest serves lower priorities
 * however many jobs of a higher one wait. */
#define TIMELY_BACKLOG_MAX_MILLI 400

static uint32_t rank(const struct fw_group *group);
static uint32_t level_of(const struct fw_group *group);

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

/*
 * Placement order. Jobs that are too late to be useful come last. The others
 * are ordered by rank; then jobs that can still meet their target come
 * before those that cannot; then by least slack. Under overload this completes
 * the most jobs of a priority in time.
 */
int
fw_group_compare(const struct fw_group *x, const struct fw_group *y)
{
	if (x->too_late != y->too_late)
		return x->too_late ? 1 : -1;
	if (rank(x) != rank(y))
		return rank(x) < rank(y) ? -1 : 1;
	if ((x->slack_ms < 0) != (y->slack_ms < 0))
		return x->slack_ms < 0 ? 1 : -1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
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
 * priority never found enough of them together. Load answered: bursts of all
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
	for (i = 1; i < level_of(group); i++)
		timely += service->timely_backlog[i];
	return service->urgent_backlog + (timely < most ? timely : most);
}
