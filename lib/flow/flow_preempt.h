#ifndef CAMPHOR_FLOW_PREEMPT_H
#define CAMPHOR_FLOW_PREEMPT_H

/* Included by flow_internal.h only. */

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs that are preempted, and capacity that is kept, for waiting groups.
 */

/* A run that may be preempted by a job of higher priority. */
struct fw_victim {
	uint32_t run;   /* handle */
	uint32_t job;   /* index in the view */
	uint32_t first; /* first task of its group, the same for a whole gang */
	uint32_t host;  /* index in the view */
	uint32_t priority;
	uint64_t cost;  /* to its callers, in core-milliseconds */
	uint64_t loss;  /* core-milliseconds of work that its gang loses */
	uint32_t stops; /* of its gang for the sake of others, so far */
	bool timely;    /* its job can still meet its target */
	bool spared;    /* is stopped within a guarantee only */
	const struct bd_flow_step *step;
	uint32_t gang_next;     /* ring of the members of its gang */
	uint32_t selected_next; /* list of the tentative ones */
	bool stopping;          /* is being stopped already */
	bool tentative;         /* selected by the search in progress */
	bool to_preempt;        /* to be preempted */
};

/* The runs that one decision may preempt. */
struct fw_preempt {
	struct fw_placer *placer;
	struct fw_victim *victims; /* NULL until a group needs them */
	uint32_t count;
	uint32_t searches;
	uint32_t middle_searches; /* of these, for groups of priority 1 */
	bool middle_done;         /* one of them has preempted runs */
};

uint64_t fw_step_size(const struct bd_flow_step *step);
uint64_t fw_run_loss(const struct bd_flow_step *step, int64_t age_ms,
    uint32_t members, const struct fw_settings *settings);
uint64_t fw_preempt_cost_max(const struct fw_group *group, bool guaranteed);
bool fw_preempt_for_group(struct fw_preempt *preempt, struct fw_view *view,
    const struct fw_group *group);
void fw_preempt_end(struct fw_preempt *preempt);

int64_t fw_run_left_ms(
    const struct fw_run *run, const struct bd_flow_step *step, int64_t now_ms);

struct fw_release;

/* The capacity that one decision keeps for waiting gangs. */
struct fw_advance {
	const struct fw_placer *placer;
	const struct fw_host_view *hosts; /* of the view */
	struct fw_release *releases;      /* by worker and time, or NULL */
	uint32_t *first;                  /* of each worker, and the end */
	int64_t *fits; /* of each worker: time until a task fits */
	uint32_t count;
	uint32_t gangs;
	uint64_t accels;
};

void fw_advance_for_group(struct fw_advance *advance, struct fw_view *view,
    const struct fw_group *group);
void fw_advance_end(struct fw_advance *advance);

bool fw_reclaim(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, uint64_t cost_max,
    uint32_t *hosts);
bool fw_within_guarantee(const struct fw_view *view,
    const struct bd_board *board, const struct bd_flow *flow);

#ifdef __cplusplus
}
#endif

#endif
