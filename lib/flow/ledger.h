#ifndef CAMPHOR_LEDGER_H
#define CAMPHOR_LEDGER_H

#include "flow.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A job that completes later than this multiple of its completion target is of
 * no use to its caller. */
#define FW_USEFUL_TARGET_FACTOR 3

int64_t fw_flow_run_ms(const struct bd_flow *flow);
int64_t fw_flow_target_ms(const struct bd_flow *flow, int64_t run_ms);
bool fw_flow_too_late(int64_t age_ms, int64_t run_ms, int64_t target_ms,
    const struct fw_settings *settings);

/* Samples kept for each queue. */
#define FW_RATIO_SAMPLES 32

/* The latest ratios of run time to estimate of one queue, in thousandths. */
struct fw_ratio_samples {
	uint64_t queue;
	uint32_t count; /* noted so far, the oldest ones are overwritten */
	uint32_t milli[FW_RATIO_SAMPLES];
};

/* How far the estimates of callers are off, by queue. */
struct fw_ratios {
	uint32_t queue_count;
	struct fw_ratio_samples queues[BD_LEDGER_QUEUES];
};

void fw_ratios_note(struct fw_ratios *ratios, uint64_t queue,
    uint32_t estimate_ms, int64_t run_ms);
uint32_t fw_ratio_milli(const struct fw_ratios *ratios,
    const struct bd_ledger *earlier, uint64_t queue);

struct fw_view;

int fw_ledger_sum(struct bd_ledger *out, const struct fw_view *view,
    const struct fw_ratios *ratios);
uint32_t fw_ledger_level(uint32_t priority);
uint32_t fw_ledger_slack_class(int64_t slack_ms);
uint32_t fw_ledger_size_class(uint64_t accels);
uint64_t fw_step_group_accels(const struct bd_flow_step *step);
struct bd_work fw_ledger_total(const struct bd_ledger_pool *pool);
bool fw_ledger_enabled(const struct bd_setup *setup);
bool fw_ledger_differs(const struct bd_ledger *a, const struct bd_ledger *b);

int fw_ledger_encode(const struct bd_ledger *ledger, void **out, size_t *bytes);
int fw_ledger_decode(const void *data, size_t bytes, struct bd_ledger *out);
int fw_ledger_apply(struct bd_board *board, const struct fw_record *record);

/* The placer's part: when the sums were made and what was published. */
struct fw_ledger_book {
	struct fw_ratios ratios;
	struct bd_ledger latest;
	int64_t summed_ms;    /* monotonic time of the sums, 0: none */
	int64_t published_ms; /* monotonic time of the latest record */
	uint64_t sums;        /* made so far */
};

struct fw_placer;
struct fw_run;

void fw_ledger_note_end(struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run, int64_t now_ms);
void fw_ledger_update(struct fw_placer *placer, const struct fw_view *view);
int fw_ledger_publish(struct fw_placer *placer, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
