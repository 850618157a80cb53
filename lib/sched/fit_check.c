#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

/* Limits the search. At the target size, a search that reaches this limit takes
 * some tens of milliseconds. */
#define FIT_BACKTRACKS_MAX 4096

/* State of the search for one promise. */
struct fit_frame {
	uint64_t score; /* of the last rack tried; scores increase */
	uint32_t tried; /* score is set */
	uint32_t first_assignment;
};

/* State of the depth-first search. The depth is an index of order and
 * frames. */
struct fit {
	const struct bd_promise *promises;
	const struct bd_worker **workers;
	uint32_t worker_count;
	struct sch_rack *racks;
	uint32_t rack_count;
	struct sch_resources *available;
	struct fit_frame *frames;
	struct sch_assignment *assignments;
	uint32_t *order; /* promises, largest first */
};

static int compare_workers(const void *a, const void *b);
static bool larger_first(const void *ctx, uint32_t a, uint32_t b);
static int fit_alloc(struct fit *fit, size_t workers, size_t promises);
static void fit_free(struct fit *fit);
static void load_workers(
    struct fit *fit, const struct bd_worker *workers, size_t count);
static uint64_t rack_score(const struct fit *fit, const struct sch_rack *rack);
static bool try_rack(struct fit *fit, uint32_t depth);
static void release_rack(struct fit *fit, uint32_t depth);
static uint32_t search(struct fit *fit, uint32_t count);

static int
compare_workers(const void *a, const void *b)
{
	const struct bd_worker *x = *(const struct bd_worker *const *)a;
	const struct bd_worker *y = *(const struct bd_worker *const *)b;

	if (x->region != y->region)
		return x->region < y->region ? -1 : 1;
	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	if (x->rack != y->rack)
		return x->rack < y->rack ? -1 : 1;
	return (x->id > y->id) - (x->id < y->id);
}

static bool
larger_first(const void *ctx, uint32_t a, uint32_t b)
{
	const struct fit *fit = ctx;
	const struct bd_shape *x = &fit->promises[a].shape;
	const struct bd_shape *y = &fit->promises[b].shape;
	uint64_t size_x = (uint64_t)x->members * x->accels;
	uint64_t size_y = (uint64_t)y->members * y->accels;

	if (size_x != size_y)
		return size_x > size_y;
	if (x->accels != y->accels)
		return x->accels > y->accels;
	size_x = (uint64_t)x->members * x->cores_milli;
	size_y = (uint64_t)y->members * y->cores_milli;
	if (size_x != size_y)
		return size_x > size_y;
	if (x->memory_mb != y->memory_mb)
		return x->memory_mb > y->memory_mb;
	return a < b;
}

static int
fit_alloc(struct fit *fit, size_t workers, size_t promises)
{
	fit->workers = calloc(workers + 1, sizeof(const struct bd_worker *));
	fit->racks = calloc(workers + 1, sizeof(*fit->racks));
	fit->available = calloc(workers + 1, sizeof(*fit->available));
	fit->frames = calloc(promises + 1, sizeof(*fit->frames));
	fit->assignments = calloc(
	    promises * BD_GANG_MEMBERS_MAX + 1, sizeof(*fit->assignments));
	fit->order = calloc(promises + 1, sizeof(*fit->order));
	if (fit->workers == NULL || fit->racks == NULL ||
	    fit->available == NULL || fit->frames == NULL ||
	    fit->assignments == NULL || fit->order == NULL)
		return cw_error_set(SCH_ENOMEM,
		    "out of memory while checking the fit of guarantees");
	return CW_OK;
}

static void
fit_free(struct fit *fit)
{
	free(fit->workers);
	free(fit->racks);
	free(fit->available);
	free(fit->frames);
	free(fit->assignments);
	free(fit->order);
}

/* Loads the workers that are up. Quarantined workers count because quarantine
 * is temporary; leaving and lost workers do not. */
static void
load_workers(struct fit *fit, const struct bd_worker *workers, size_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (workers[i].state == BD_WORKER_UP)
			fit->workers[fit->worker_count++] = &workers[i];
	qsort(fit->workers, fit->worker_count, sizeof(const struct bd_worker *),
	    compare_workers);
	for (i = 0; i < fit->worker_count; i++) {
		const struct bd_worker *row = fit->workers[i];
		struct sch_rack *rack;

		if (i == 0 || row->rack != fit->workers[i - 1]->rack ||
		    row->zone != fit->workers[i - 1]->zone ||
		    row->region != fit->workers[i - 1]->region)
			fit->racks[fit->rack_count++].first = i;
		rack = &fit->racks[fit->rack_count - 1];
		rack->count++;
		fit->available[i].mask =
		    sch_mask_lowest(UINT32_MAX, row->accels);
		fit->available[i].cores = row->cores_milli;
		fit->available[i].memory = row->memory_mb;
	}
}

/* Returns the free capacity of a rack as a score; lower is tighter. Racks with
 * equal scores are considered equivalent, and only one of them is tried. */
static uint64_t
rack_score(const struct fit *fit, const struct sch_rack *rack)
{
	uint64_t accels = 0;
	uint64_t cores = 0;
	uint32_t w;

	for (w = rack->first; w < rack->first + rack->count; w++) {
		accels += (uint64_t)__builtin_popcount(fit->available[w].mask);
		cores += (uint64_t)fit->available[w].cores;
	}
	return accels << 40 | cores;
}

/* Plans the promise at this depth in the tightest rack that has not been tried
 * for it. Returns false if no rack is left. */
static bool
try_rack(struct fit *fit, uint32_t depth)
{
	const struct bd_promise *promise = &fit->promises[fit->order[depth]];
	struct sch_need need = sch_need_of(&promise->shape);
	struct fit_frame *frame = &fit->frames[depth];
	struct sch_assignment *assignments =
	    &fit->assignments[frame->first_assignment];

	for (;;) {
		uint32_t best = SCH_NONE;
		uint64_t best_score = UINT64_MAX;
		uint32_t r;

		for (r = 0; r < fit->rack_count; r++) {
			uint64_t score = rack_score(fit, &fit->racks[r]);

			if (frame->tried && score <= frame->score)
				continue;
			if (score < best_score) {
				best = r;
				best_score = score;
			}
		}
		if (best == SCH_NONE)
			return false;
		frame->tried = true;
		frame->score = best_score;
		if (sch_rack_allocate(
			fit->available, &fit->racks[best], &need, assignments))
			return true;
	}
}

/* Releases the resources planned at this depth, to backtrack. */
static void
release_rack(struct fit *fit, uint32_t depth)
{
	const struct bd_shape *shape = &fit->promises[fit->order[depth]].shape;
	const struct sch_assignment *assignments =
	    &fit->assignments[fit->frames[depth].first_assignment];
	uint32_t i;

	for (i = 0; i < shape->members; i++) {
		struct sch_resources *resources =
		    &fit->available[assignments[i].worker];

		resources->mask |= assignments[i].mask;
		resources->cores += shape->cores_milli;
		resources->memory += shape->memory_mb;
	}
}

/* Depth-first search with backtracking. Returns SCH_NONE if all promises fit,
 * otherwise the first one, in order of decreasing size, that did not. */
static uint32_t
search(struct fit *fit, uint32_t count)
{
	uint32_t depth = 0;
	uint32_t failed = SCH_NONE;
	uint32_t backtracks = 0;

	while (depth < count) {
		fit->frames[depth].first_assignment =
		    depth * BD_GANG_MEMBERS_MAX;
		if (try_rack(fit, depth)) {
			depth++;
			if (depth < count)
				fit->frames[depth].tried = false;
			continue;
		}
		if (failed == SCH_NONE)
			failed = fit->order[depth];
		if (depth == 0 || ++backtracks == FIT_BACKTRACKS_MAX)
			return failed;
		release_rack(fit, --depth);
	}
	return SCH_NONE;
}

/*
 * Checks that all guaranteed shapes can be planned at the same time on these
 * workers, each within one rack. Returns SCH_EINFEASIBLE and stores the first
 * shape that does not fit in *failure, or returns SCH_ENOMEM. The search is
 * bounded, so a tight set of shapes may be rejected although an exact search
 * would fit it.
 */
int
sch_fit_check(const struct bd_worker *workers, size_t worker_count,
    const struct bd_promise *promises, size_t promise_count,
    struct sch_fit_failure *failure)
{
	struct fit fit = {.promises = promises};
	uint32_t failed;
	uint32_t i;
	int code;

	assert(failure != NULL);
	code = fit_alloc(&fit, worker_count, promise_count);
	if (code == CW_OK) {
		load_workers(&fit, workers, worker_count);
		for (i = 0; i < promise_count; i++)
			fit.order[i] = i;
		sch_sort(
		    fit.order, (uint32_t)promise_count, larger_first, &fit);
		failed = search(&fit, (uint32_t)promise_count);
		if (failed != SCH_NONE) {
			const struct bd_promise *promise = &promises[failed];

			failure->account = promise->account;
			failure->promise = failed;
			failure->number = promise->number;
			failure->copy = promise->copy;
			failure->shape = promise->shape;
			code = cw_error_set(SCH_EINFEASIBLE,
			    "guaranteed shape %u, copy %u (%u x %u "
			    "accelerators) does not fit into any rack together "
			    "with the larger shapes",
			    promise->number, promise->copy,
			    promise->shape.members, promise->shape.accels);
		}
	}
	fit_free(&fit);
	return code;
}
