#include <stdatomic.h>
#include <stdlib.h>

#include "flow_internal.h"

/* Time between two joins; three are sent within the shortest time to live that
 * the store grants, 1 s, so that one lost answer changes nothing. */
#define JOIN_MS 330
#define RETRY_MS 150
/* A VM that yields joins when nobody has had the duty at so many looks in a
 * row; the others need some hundred ms after a start. */
#define LOOK_MS 1000
#define LOOKS_MAX 2
/* The store answers within some ms, 60 more from another region. A placer there
 * needs several times as long to take over, over a link that all share. */
#define FAR_MS 30

struct fw_duty {
	struct bd_board *board;
	struct fw_store store;
	struct fw_settings settings;
	atomic_bool leaving;
	atomic_uint_least64_t term; /* 0: another process has the duty */
	atomic_int_least64_t proven_ms;
	atomic_uint_least64_t superseded; /* highest term that was fenced */
	uint64_t generation;              /* of the platform's thread */
	uint32_t vacant;                  /* looks that found nobody */
	bool looked;                      /* the distance is known */
	bool yields;                      /* joins when nobody else does */
};

static void join(void *ctx, int64_t now_ms);
static void on_done(void *ctx, enum fw_fate fate, uint64_t generation,
    bool holds, int64_t sent_ms, int64_t now_ms);
static void schedule(struct fw_duty *duty, uint32_t delay_ms);

static void
schedule(struct fw_duty *duty, uint32_t delay_ms)
{
	if (duty->store.after(duty->store.ctx, delay_ms, join, duty) != CW_OK)
		ev_emit(EV_FLOW_DUTY_ENDED, "reason=\"%s\"", cw_error_last());
}

static void
join(void *ctx, int64_t now_ms)
{
	struct fw_duty *duty = ctx;
	struct fw_join call = {.generation = duty->generation,
	    .ttl_ms = duty->settings.join_ttl_ms,
	    .look = !duty->looked || (duty->yields && duty->vacant < LOOKS_MAX),
	    .done = on_done,
	    .ctx = duty};

	(void)now_ms;
	if (atomic_load(&duty->leaving))
		return;
	if (duty->store.join(duty->store.ctx, &call) != CW_OK)
		schedule(duty, RETRY_MS);
}

static void
on_done(void *ctx, enum fw_fate fate, uint64_t generation, bool holds,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_duty *duty = ctx;
	uint64_t term = atomic_load(&duty->term);

	if (atomic_load(&duty->leaving))
		return;
	if (fate != FW_FATE_DONE) {
		schedule(duty, RETRY_MS);
		return;
	}
	if (!duty->looked || (duty->yields && duty->vacant < LOOKS_MAX)) {
		/* A store that was slow at one look is not far away. */
		duty->yields =
		    duty->settings.yields || now_ms - sent_ms > FAR_MS;
		duty->vacant = holds || !duty->looked ? 0 : duty->vacant + 1;
		duty->looked = true;
		schedule(duty, duty->yields ? LOOK_MS : 0);
		return;
	}
	duty->generation = generation;
	if (holds && term == 0 && generation > atomic_load(&duty->superseded)) {
		atomic_store(&duty->term, generation);
		ev_emit(EV_FLOW_DUTY_GAINED, "term=%llu",
		    (unsigned long long)generation);
	} else if (!holds && term != 0) {
		atomic_store(&duty->term, 0);
		ev_emit(EV_FLOW_DUTY_LOST, "term=%llu generation=%llu",
		    (unsigned long long)term, (unsigned long long)generation);
	}
	if (holds)
		atomic_store(&duty->proven_ms, sent_ms);
	if (holds != (term != 0))
		bd_publish(duty->board);
	schedule(duty, JOIN_MS);
}

/*
 * Takes part in the election of the placer: the store deals the partition of
 * jobs to one member of a group. The group's generation is the term, which
 * fences earlier placers at the store and at the workers. Returns FW_ENOMEM.
 */
int
fw_duty_start(struct fw_duty **out, struct bd_board *board,
    const struct fw_store *store, const struct fw_settings *settings)
{
	struct fw_duty *duty = calloc(1, sizeof(*duty));

	if (duty == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for the duty");
	duty->board = board;
	duty->store = *store;
	duty->settings = *settings;
	*out = duty;
	schedule(duty, 0);
	return CW_OK;
}

/* Hands the duty over: the store may deal it to another member at once. */
void
fw_duty_leave(struct fw_duty *duty)
{
	struct fw_join call = {.leave = true, .done = on_done, .ctx = duty};

	atomic_store(&duty->leaving, true);
	atomic_store(&duty->term, 0);
	if (duty->store.join(duty->store.ctx, &call) != CW_OK)
		ev_emit(EV_FLOW_DUTY_ENDED, "reason=\"%s\"", cw_error_last());
	bd_publish(duty->board);
}

/* Frees the duty after the platform's thread has ended. */
void
fw_duty_free(struct fw_duty *duty)
{
	free(duty);
}

/* Returns the term of the duty, 0 where another process has it. *proven_ms is
 * when the last call was sent that confirmed it. */
uint64_t
fw_duty_term(const struct fw_duty *duty, int64_t *proven_ms)
{
	struct fw_duty *own = (struct fw_duty *)duty;

	*proven_ms = atomic_load(&own->proven_ms);
	return atomic_load(&own->term);
}

/* Gives a term up that the store or a worker has refused for a later one. */
void
fw_duty_superseded(struct fw_duty *duty, uint64_t term)
{
	uint64_t expected = term;

	atomic_store(&duty->superseded, term);
	if (atomic_compare_exchange_strong(&duty->term, &expected, 0))
		ev_emit(EV_FLOW_DUTY_LOST, "term=%llu reason=fenced",
		    (unsigned long long)term);
}
