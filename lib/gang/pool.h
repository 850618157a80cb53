#ifndef CAMPHOR_GANG_POOL_H
#define CAMPHOR_GANG_POOL_H

#include "gang_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One call to one member, with copies of the strings that the task points to
 * when it is sent. */
struct gang_pool_item {
	uint32_t verb;
	uint32_t sequence;
	uint32_t unresponsive; /* as in struct gang_member */
	/* Rack or worker. Calls with the same verb and group are sent as one
	 * message. */
	uint64_t group;
	struct pf_task task;
	char worker_name[CW_NAME_BYTES];
	char input[BD_JOB_INPUT_BYTES];
};

struct gang_pool;

int gang_pool_create(struct gang_pool **out, struct bd_board *board,
    const struct pf_tasks *tasks, const struct ctl_clock *clock,
    uint32_t threads);
void gang_pool_destroy(struct gang_pool *pool);
int gang_pool_priority(uint32_t verb);
void gang_pool_enqueue(
    struct gang_pool *pool, const struct gang_pool_item *items, size_t count);
void gang_pool_drain(struct gang_pool *pool,
    void (*take)(void *ctx, const struct gang_answer *answer), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
