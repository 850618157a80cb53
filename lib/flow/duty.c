#include <stdatomic.h>
#include <stdlib.h>

#include "flow_internal.h"

/* Three joins are sent within the shortest time to live that the store grants,
 * 1 s, so that the loss of one answer does not end the membership. */
#define JOIN_INTERVAL_MS 330
/* Where several VMs join at once, each may learn only from its next join that
 * the duty was dealt to it or away from it: a new member asks sooner. */
#define JOIN_SOON_INTERVAL_MS 100
#define JOIN_SOON_MS 1000
#define RETRY_MS 150
/* A VM joins the election only if two probes in a row have found no placer: the
 * store may deal the duty anew to whoever joins, and each change of the placer
 * costs some hundred ms without placements. A probe asks the store whether
 * another VM has the placing duty. */
#define PROBE_INTERVAL_MS 330
#define FALLBACK_PROBE_INTERVAL_MS 1000
#define PROBES_VACANT_MIN 2
/* A member without the duty leaves after this time: another one has it. */
#define STANDBY_MAX_MS 900
/* The store answers within a few ms from its own region and takes 60 ms more
 * from another one. A VM whose probe takes longer than this is a fallback: a
 * placer in another region takes several times as long to take over, over a
 * link between regions that all traffic shares. */
#define REMOTE_STORE_MS 30

/* What the call in flight asks for. */
enum duty_call {
	DUTY_PROBE,
	DUTY_JOIN,
	DUTY_LEAVE,
};

struct fw_duty {
	struct bd_board *board;
	struct fw_store store;
	struct fw_settings settings;
	atomic_bool leaving;
	atomic_uint_least64_t term; /* 0: this process does not have the duty */
	atomic_int_least64_t duty_confirmed_ms;
	atomic_int_least64_t gained_ms;    /* see fw_duty_gained_ms */
	atomic_uint_least64_t fenced_term; /* last own term that was fenced */
	/* Owned by the platform's thread: */
	uint64_t generation;
	enum duty_call call;
	bool member; /* has joined, and its membership is valid */
	int64_t member_since_ms;
	int64_t joined_ms;        /* last answered join, by its sending */
	int64_t standby_since_ms; /* member without the duty since, 0: has it */
	uint32_t vacant_probes;   /* probes in a row without a placer */
	bool probed;              /* the store's latency is known */
	bool fallback_only; /* a fallback: joins only if no VM is the placer */
};

static void send_call(void *ctx, int64_t now_ms);
static void on_done(void *ctx, enum fw_result result, uint64_t generation,
    bool has_duty, int64_t sent_ms, int64_t now_ms);
static void on_probe(
    struct fw_duty *duty, bool taken, int64_t sent_ms, int64_t now_ms);
static void on_join(struct fw_duty *duty, uint64_t generation, bool has_duty,
    int64_t sent_ms, int64_t now_ms);
static void set_term(struct fw_duty *duty, uint64_t term, uint64_t generation);
static enum duty_call next_call(const struct fw_duty *duty, int64_t now_ms);
static void schedule(struct fw_duty *duty, uint32_t delay_ms);

/* Sends the next call after a delay. */
static void
schedule(struct fw_duty *duty, uint32_t delay_ms)
{
	if (duty->store.after(duty->store.ctx, delay_ms, send_call, duty) !=
	    CW_OK)
		ev_emit(EV_FLOW_DUTY_ENDED, "reason=\"%s\"", cw_error_last());
}

/* Decides on the next call. A membership that may have expired is not renewed:
 * joining again could take the duty from its successor, so the store is asked
 * first. */
static enum duty_call
next_call(const struct fw_duty *duty, int64_t now_ms)
{
	if (duty->member &&
	    now_ms - duty->joined_ms > (int64_t)duty->settings.join_ttl_ms)
		return DUTY_PROBE;
	if (duty->member && duty->standby_since_ms != 0 &&
	    now_ms - duty->standby_since_ms > STANDBY_MAX_MS)
		return DUTY_LEAVE;
	if (duty->member || duty->vacant_probes >= PROBES_VACANT_MIN)
		return DUTY_JOIN;
	return DUTY_PROBE;
}

/* Sends a probe, a join or a leave. */
static void
send_call(void *ctx, int64_t now_ms)
{
	struct fw_duty *duty = ctx;
	struct fw_join call = {.generation = duty->generation,
	    .ttl_ms = duty->settings.join_ttl_ms,
	    .done = on_done,
	    .ctx = duty};

	if (atomic_load(&duty->leaving))
		return;
	duty->call = next_call(duty, now_ms);
	if (duty->call != DUTY_JOIN)
		duty->member = false;
	call.query_only = duty->call == DUTY_PROBE;
	call.leave = duty->call == DUTY_LEAVE;
	if (duty->store.join(duty->store.ctx, &call) != CW_OK)
		schedule(duty, RETRY_MS);
}

/* Takes or gives up the duty. 0: gives it up. */
static void
set_term(struct fw_duty *duty, uint64_t term, uint64_t generation)
{
	uint64_t before = atomic_load(&duty->term);

	if ((term != 0) == (before != 0))
		return;
	atomic_store(&duty->term, term);
	if (term != 0)
		ev_emit(
		    EV_FLOW_DUTY_GAINED, "term=%llu", (unsigned long long)term);
	else
		ev_emit(EV_FLOW_DUTY_LOST, "term=%llu generation=%llu",
		    (unsigned long long)before, (unsigned long long)generation);
	bd_notify(duty->board);
}

/* Handles the answer to a probe. taken: another VM has the placing duty. */
static void
on_probe(struct fw_duty *duty, bool taken, int64_t sent_ms, int64_t now_ms)
{
	bool is_placer = atomic_load(&duty->term) != 0;

	/* Measured again at each probe: a single slow answer does not mean that
	 * the store is in another region. */
	duty->fallback_only =
	    duty->settings.fallback_only || now_ms - sent_ms > REMOTE_STORE_MS;
	duty->vacant_probes = taken ? 0 : duty->vacant_probes + 1;
	if (taken)
		set_term(duty, 0, duty->generation);
	else if (is_placer || (!duty->probed && !duty->fallback_only))
		duty->vacant_probes = PROBES_VACANT_MIN;
	duty->probed = true;
	if (duty->vacant_probes >= PROBES_VACANT_MIN)
		schedule(duty, 0);
	else if (duty->fallback_only)
		schedule(duty, FALLBACK_PROBE_INTERVAL_MS);
	else
		schedule(duty,
		    taken ? PROBE_INTERVAL_MS : duty->settings.join_delay_ms);
}

/* Handles the answer to a join. */
static void
on_join(struct fw_duty *duty, uint64_t generation, bool has_duty,
    int64_t sent_ms, int64_t now_ms)
{
	uint64_t term = atomic_load(&duty->term);

	duty->generation = generation;
	if (!duty->member)
		duty->member_since_ms = sent_ms;
	duty->member = true;
	duty->joined_ms = sent_ms;
	duty->vacant_probes = 0;
	if (has_duty)
		duty->standby_since_ms = 0;
	else if (duty->standby_since_ms == 0)
		duty->standby_since_ms = sent_ms;
	if (!has_duty)
		set_term(duty, 0, generation);
	else if (term == 0 && generation > atomic_load(&duty->fenced_term)) {
		atomic_store(&duty->gained_ms, now_ms);
		set_term(duty, generation, generation);
	}
	if (has_duty)
		atomic_store(&duty->duty_confirmed_ms, sent_ms);
	schedule(duty,
	    sent_ms - duty->member_since_ms < JOIN_SOON_MS
		? JOIN_SOON_INTERVAL_MS
		: JOIN_INTERVAL_MS);
}

/* Handles the answer to the call in flight. */
static void
on_done(void *ctx, enum fw_result result, uint64_t generation, bool has_duty,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_duty *duty = ctx;

	if (atomic_load(&duty->leaving))
		return;
	if (result != FW_RESULT_DONE && duty->call != DUTY_LEAVE) {
		duty->member = duty->call == DUTY_JOIN;
		schedule(duty, RETRY_MS);
	} else if (duty->call == DUTY_PROBE)
		on_probe(duty, has_duty, sent_ms, now_ms);
	else if (duty->call == DUTY_JOIN)
		on_join(duty, generation, has_duty, sent_ms, now_ms);
	else {
		duty->standby_since_ms = 0;
		duty->vacant_probes = 0;
		schedule(duty, PROBE_INTERVAL_MS);
	}
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

/* Returns the time (monotonic ms) at which the answer arrived that gave this
 * process its latest term. The duty of earlier placers was last confirmed
 * before it. */
int64_t
fw_duty_gained_ms(const struct fw_duty *duty)
{
	return atomic_load(&((struct fw_duty *)duty)->gained_ms);
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
