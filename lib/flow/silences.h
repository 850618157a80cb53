#ifndef CAMPHOR_FLOW_SILENCES_H
#define CAMPHOR_FLOW_SILENCES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The latest silences of a worker. Times are monotonic. */
struct fw_silences {
	int64_t ended_ms; /* when it answered again, 0: never silent */
	uint32_t count;   /* in a row, each soon after the one before */
};

void fw_silence_began(struct fw_silences *silences, int64_t now_ms);
void fw_silence_ended(struct fw_silences *silences, int64_t now_ms);
bool fw_silent_lately(const struct fw_silences *silences, int64_t now_ms);
bool fw_silent_repeatedly(const struct fw_silences *silences, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
