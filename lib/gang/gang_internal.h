#ifndef CAMPHOR_GANG_INTERNAL_H
#define CAMPHOR_GANG_INTERNAL_H

#include "gang.h"

/* A call counts as unanswered after this time, which exceeds the platform's
 * timeout of one call. */
#define GANG_CALL_TIMEOUT_MS 15000

/* The inputs and the result of one call of gang_decide. */
struct gang_step {
	const struct bd_board *board;
	struct gang *gang;
	/* NULL if the job no longer exists or has a newer token. */
	const struct bd_job *job;
	const struct gang_settings *settings;
	const struct gang_output *out;
	uint64_t self;
	int64_t now_ms;
	int64_t next_ms;
};

void gang_wake_at(struct gang_step *step, int64_t at_ms);
void gang_call_start(struct gang_step *step, uint32_t member, uint32_t verb);
void gang_stop_begin(
    struct gang_step *step, uint32_t outcome, uint32_t reason, uint64_t worker);
void gang_fail(
    struct gang_step *step, uint32_t reason, const struct gang_member *member);
void gang_resume_after_pause(
    struct gang *gang, const struct gang_settings *settings, int64_t now_ms);
bool gang_worker_is_lost(const struct bd_board *board, uint64_t worker);
bool gang_is_standby(
    const struct bd_board *board, const struct bd_job *job, uint64_t self);
int64_t gang_renew_due(const struct gang_member *member,
    const struct gang_settings *settings, int64_t now_ms);

void gang_propose_started(struct gang_step *step);
void gang_running_step(struct gang_step *step);
void gang_checkpoint_begin(struct gang *gang);
bool gang_checkpoint_step(struct gang_step *step);
void gang_standby_step(struct gang_step *step);
void gang_stopping_step(struct gang_step *step);

void gang_crash_note_loss(struct gang_step *step, struct gang_member *member);
int64_t gang_crash_check_until(
    const struct gang_step *step, const struct gang_member *member);
bool gang_crash_record(struct gang_step *step);

#endif
