#ifndef CAMPHOR_GANG_INTERNAL_H
#define CAMPHOR_GANG_INTERNAL_H

#include "gang.h"

/* A call without an answer for so long counts as not answered. Longer than the
 * platform's deadline of one call. */
#define GANG_CALL_MAX_MS 15000

/* One decision for one gang. */
struct gang_turn {
	const struct bd_board *board;
	struct gang *gang;
	const struct bd_job *job; /* NULL: gone, or placed anew */
	const struct gang_settings *settings;
	const struct gang_out *out;
	uint64_t self;
	int64_t now_ms;
	int64_t next_ms;
};

void gang_wake_at(struct gang_turn *turn, int64_t at_ms);
void gang_call_make(struct gang_turn *turn, uint32_t member, uint32_t verb);
void gang_stop_begin(
    struct gang_turn *turn, uint32_t outcome, uint32_t reason, uint64_t worker);
void gang_fail(
    struct gang_turn *turn, uint32_t reason, const struct gang_member *member);
void gang_pause_end(struct gang *gang, int64_t now_ms);
bool gang_worker_is_lost(const struct bd_board *board, uint64_t worker);
bool gang_is_standby(
    const struct bd_board *board, const struct bd_job *job, uint64_t self);
int64_t gang_renew_due(const struct gang_member *member,
    const struct gang_settings *settings, int64_t now_ms);

void gang_run(struct gang_turn *turn);
void gang_save_begin(struct gang *gang);
bool gang_save_go_on(struct gang_turn *turn);
void gang_stand_by(struct gang_turn *turn);
void gang_stop(struct gang_turn *turn);

#endif
