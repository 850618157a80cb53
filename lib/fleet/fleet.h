#ifndef CAMPHOR_FLEET_H
#define CAMPHOR_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "board.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Duties
 */

/* A VM of rank r waits this long times r before it claims. */
#define FL_DUTY_RANK_DELAY_MS 1000

int fl_duty_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, int64_t *next_ms);
bool fl_duty_is_held(
    const struct bd_board *board, uint64_t duty, uint64_t self);

#ifdef __cplusplus
}
#endif

#endif
