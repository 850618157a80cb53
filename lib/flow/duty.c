#include <stdatomic.h>
#include <stdlib.h>

#include "flow_internal.h"

/* Three joins are sent within the shortest time to live that the store grants,
 * 1 s, so that the loss of one answer does not end the membership. */
#define JOIN_INTERVAL_MS 330
#define RETRY_MS 150
/* A fallback VM joins the election once this many probes in a row have found no
 * placer; the other VMs need a few hundred ms to elect one after a start. A
 * probe asks the store whether any VM has the placing duty. */
#define PROBE_INTERVAL_MS 1000
#define PROBES_VACANT_MIN 2
/* The store answers within a few ms from its own region and takes 60 ms more
 * from another one. A VM whose probe takes longer than this is a fallback: a
 * placer in another region takes several times as long to take over, over a
 * link between regions that all traffic shares. */
#define REMOTE_STORE_MS 30

struct fw_duty {
	struct bd_board *board;
	struct fw_store store;
	struct fw_settings settings;
	atomic_bool leaving;
	atomic_uint_least64_t term; /* 0: this process does not have the duty */
	atomic_int_least64_t duty_confirmed_ms;
	atomic_uint_least64_t fenced_term; /* last own term that was fenced */
	uint64_t generation;               /* owned by the platform's thread */
	uint32_t vacant_probes; /* probes in a row without a placer */
	bool probed;            /* the store's latency is known */
	bool fallback_only; /* a fallback: joins only if no VM is the placer */
};

static void send_join(void *ctx, int64_t now_ms);
static void on_done(void *ctx, enum fw_result result, uint64_t generation,
    bool has_duty, int64_t sent_ms, int64_t now_ms);
static void schedule(struct fw_duty *duty, uint32_t delay_ms);

/* Sends the next join after a delay. */
static void
schedule(struct fw_duty *duty, uint32_t delay_ms)
{
	if (duty->store.after(duty->store.ctx, delay_ms, send_join, duty) !=
	    CW_OK)
		ev_emit(EV_FLOW_DUTY_ENDED, "reason=\"%s\"", cw_error_last());
}

/* Sends a probe or a join. */
static void
send_join(void *ctx, int64_t now_ms)
{
	struct fw_duty *duty = ctx;
	struct fw_join call = {.generation = duty->generation,
	    .ttl_ms = duty->settings.join_ttl_ms,
	    .query_only = !duty->probed ||
		(duty->fallback_only &&
		    duty->vacant_probes < PROBES_VACANT_MIN),
	    .done = on_done,
	    .ctx = duty};

	(void)now_ms;
	if (atomic_load(&duty->leaving))
		return;
	if (duty->store.join(duty->store.ctx, &call) != CW_OK)
		schedule(duty, RETRY_MS);
}

static void
on_done(void *ctx, enum fw_result result, uint64_t generation, bool has_duty,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_duty *duty = ctx;
	uint64_t term = atomic_load(&duty->term);

	if (atomic_load(&duty->leaving))
		return;
	if (result != FW_RESULT_DONE) {
		schedule(duty, RETRY_MS);
		return;
	}
	if (!duty->probed ||
	    (duty->fallback_only && duty->vacant_probes < PROBES_VACANT_MIN)) {
		/* Measured again at each probe: a single slow answer does not
		 * mean that the store is in another region. */
		duty->fallback_only = duty->settings.fallback_only ||
		    now_ms - sent_ms > REMOTE_STORE_MS;
		duty->vacant_probes =
		    has_duty || !duty->probed ? 0 : duty->vacant_probes + 1;
		duty->probed = true;
		schedule(duty, duty->fallback_only ? PROBE_INTERVAL_MS : 0);
		return;
	}
	duty->generation = generation;
	if (has_duty && term == 0 &&
	    generation > atomic_load(&duty->fenced_term)) {
		atomic_store(&duty->term, generation);
		ev_emit(EV_FLOW_DUTY_GAINED, "term=%llu",
		    (unsigned long long)generation);
	} else if (!has_duty && term != 0) {
		atomic_store(&duty->term, 0);
		ev_emit(EV_FLOW_DUTY_LOST, "term=%llu generation=%llu",
		    (unsigned long long)term, (unsigned long long)generation);
	}
	if (has_duty)
		atomic_store(&duty->duty_confirmed_ms, sent_ms);
	if (has_duty != (term != 0))
		bd_notify(duty->board);
	schedule(duty, JOIN_INTERVAL_MS);
}

/*
 * Joins the election of the placer: the store assigns the partition of jobs to
 * one member of a group. The group's generation is the term, by which the store
 * and the workers fence earlier placers. Returns FW_ENOMEM.
 */
int
fw_duty_start(struct fw_duty **out, struct bd_board *board,
    const struct fw_store *store, const struct fw_settings *settings)
{
	struct fw_duty *duty = calloc(1, sizeof(*duty));

	if (duty == NULL)
		return cw_error_set(FW_ENOMEM,
		    "out of memory while joining the placer election");
	duty->board = board;
	duty->store = *store;
	duty->settings = *settings;
	*out = duty;
	schedule(duty, 0);
	return CW_OK;
}

/* Leaves the election, so that the store may assign the placing duty to another
 * member at once. */
void
fw_duty_release(struct fw_duty *duty)
{
	struct fw_join call = {.leave = true, .done = on_done, .ctx = duty};

	atomic_store(&duty->leaving, true);
	atomic_store(&duty->term, 0);
	if (duty->store.join(duty->store.ctx, &call) != CW_OK)
		ev_emit(EV_FLOW_DUTY_ENDED, "reason=\"%s\"", cw_error_last());
	bd_notify(duty->board);
}

/* Call after the platform's thread has ended. */
void
fw_duty_free(struct fw_duty *duty)
{
	free(duty);
}

/* Returns the term in which this process is the placer, 0 if it is not.
 * *duty_confirmed_ms is the time (monotonic ms) at which the latest call
 * that confirmed it was sent. */
uint64_t
fw_duty_term(const struct fw_duty *duty, int64_t *duty_confirmed_ms)
{
	struct fw_duty *writable = (struct fw_duty *)duty;

	*duty_confirmed_ms = atomic_load(&writable->duty_confirmed_ms);
	return atomic_load(&writable->term);
}

/* Gives up a term after the store or a worker has rejected it in favour of a
 * later one. */
void
fw_duty_fenced(struct fw_duty *duty, uint64_t term)
{
	uint64_t expected = term;

	atomic_store(&duty->fenced_term, term);
	if (atomic_compare_exchange_strong(&duty->term, &expected, 0))
		ev_emit(EV_FLOW_DUTY_LOST, "term=%llu reason=fenced",
		    (unsigned long long)term);
}
