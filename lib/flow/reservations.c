#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* A reservation that could not be used within this time is dropped, so that
 * another can be made: a worker may have left, or a stop may remain unanswered.
 */
#define RESERVATION_MAX_MS 1800

static struct fw_group *find_group(struct fw_groups *groups,
    const struct fw_view *view, struct fw_reservation *reservation);
static bool find_hosts(const struct fw_view *view,
    const struct fw_reservation *reservation, uint32_t *hosts);
static bool try_place(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts);
static bool apply_one(struct fw_view *view, struct fw_groups *groups,
    struct fw_reservation *reservation);

/* Adds a reservation for a group. Returns FW_ENOMEM. */
int
fw_reservation_add(struct fw_reservation **reservations,
    const struct fw_view *view, const struct fw_group *group,
    const uint32_t *hosts)
{
	struct fw_reservation *reservation = malloc(
	    sizeof(*reservation) + group->count * sizeof(*reservation->hosts));
	uint32_t i;

	if (reservation == NULL)
		return cw_error_set(
		    FW_ENOMEM, "out of memory while adding a reservation");
	reservation->flow = view->jobs[group->job].row->id;
	reservation->first = group->first;
	reservation->count = group->count;
	reservation->created_ms = view->now_ms;
	for (i = 0; i < group->count; i++)
		reservation->hosts[i] = view->hosts[hosts[i]].row->id;
	reservation->next = *reservations;
	*reservations = reservation;
	return CW_OK;
}

static struct fw_group *
find_group(struct fw_groups *groups, const struct fw_view *view,
    struct fw_reservation *reservation)
{
	uint32_t i;

	for (i = 0; i < groups->count; i++)
		if (view->jobs[groups->items[i].job].row->id ==
			reservation->flow &&
		    groups->items[i].first == reservation->first &&
		    groups->items[i].count == reservation->count)
			return &groups->items[i];
	return NULL;
}

static bool
find_hosts(const struct fw_view *view, const struct fw_reservation *reservation,
    uint32_t *hosts)
{
	uint32_t i;

	for (i = 0; i < reservation->count; i++) {
		hosts[i] = fw_view_host_index(view, reservation->hosts[i]);
		if (hosts[i] == FW_NONE || !view->hosts[hosts[i]].schedulable)
			return false;
	}
	return true;
}

/* Subtracts the reserved capacity from the view, whether it is free yet or not.
 * Returns whether all of it was free. */
static bool
try_place(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_flow_step *step = &fw_flow_steps(flow)[group->step];
	bool fits = true;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		fits = fits && fw_host_fits(&view->hosts[hosts[i]], flow, step);
		fw_host_adjust_free(&view->hosts[hosts[i]], step, -1);
	}
	return fits;
}

/* Applies one reservation. Returns whether it has to be kept. */
static bool
apply_one(struct fw_view *view, struct fw_groups *groups,
    struct fw_reservation *reservation)
{
	struct fw_group *group = find_group(groups, view, reservation);
	uint32_t hosts[FW_TASKS_MAX];
	bool placed;

	if (group == NULL || group->suspect || group->bound ||
	    view->now_ms - reservation->created_ms > RESERVATION_MAX_MS ||
	    !find_hosts(view, reservation, hosts))
		return false;
	placed = try_place(view, group, hosts);
	if (placed)
		fw_group_place(view, group, hosts);
	else
		fw_group_note_kept(view, group, hosts);
	*group = groups->items[--groups->count];
	return !placed;
}

/* Places the group of each reservation whose capacity is free, and withholds
 * the capacity of the others from all other groups. Groups with a reservation
 * are removed from the list, which loses its order. Reservations that are used,
 * expired or invalid are dropped. */
void
fw_reservations_apply(struct fw_reservation **reservations,
    struct fw_view *view, struct fw_groups *groups)
{
	while (*reservations != NULL) {
		struct fw_reservation *reservation = *reservations;

		if (apply_one(view, groups, reservation)) {
			reservations = &reservation->next;
			continue;
		}
		*reservations = reservation->next;
		free(reservation);
	}
}

/* Drops all reservations. */
void
fw_reservations_clear(struct fw_reservation **reservations)
{
	while (*reservations != NULL) {
		struct fw_reservation *reservation = *reservations;

		*reservations = reservation->next;
		free(reservation);
	}
}
