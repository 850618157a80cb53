#ifndef CAMPHOR_BASE_H
#define CAMPHOR_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes
 *
 * Functions that can fail return an int: zero for success, a negative code
 * otherwise. Each package numbers its codes from its own base, so that a code
 * identifies the package that returned it.
 */
enum cw_status {
	CW_OK = 0,
	CW_ENOMEM = -1,
	CW_EINVAL = -2,
	CW_ERANGE = -3,
	CW_EIO = -4,
};

enum cw_status_base {
	CW_BASE_BOARD = -100,
	CW_BASE_CONFIG = -200,
	CW_BASE_STATE = -300,
	CW_BASE_FLEET = -400,
	CW_BASE_SCHED = -500,
	CW_BASE_GANG = -600,
	CW_BASE_ROUTE = -700,
	CW_BASE_PLATFORM = -800,
	CW_BASE_LINK = -900,
	CW_BASE_FRONT = -1000,
	CW_BASE_REPORT = -1100,
	CW_BASE_FLOW = -1200,
};

bool cw_is_error(int code);
const char *cw_status_name(int code);

/* Size of the message buffer of a thread, including the terminator. */
#define CW_ERROR_BYTES 512

int cw_error_set(int code, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
const char *cw_error_last(void);

/*
 * 2. Names, identifiers and pseudo-random numbers
 */
/* Size of a name, an address and similar fields, including the terminator. */
#define CW_NAME_BYTES 48

uint64_t cw_id_from_name(const char *name);
uint64_t cw_id_from_pair(uint64_t a, uint64_t b);
uint64_t cw_hash(const void *data, size_t bytes, uint64_t seed);
int cw_name_copy(char *dst, size_t dst_bytes, const char *src);

struct cw_rng {
	uint64_t state;
};

void cw_rng_seed(struct cw_rng *rng, uint64_t seed);
uint64_t cw_rng_next(struct cw_rng *rng);
uint32_t cw_rng_below(struct cw_rng *rng, uint32_t bound);
double cw_rng_unit(struct cw_rng *rng);
uint64_t cw_rng_entropy(void);

/*
 * 3. Time. Only threads and programs read a clock. Functions that make
 * decisions take the present time as an argument, so that tests control it.
 */
int64_t cw_clock_wall_ms(void);
int64_t cw_clock_boot_ms(void);
int64_t cw_clock_mono_ms(void);
int64_t cw_clock_mono_us(void);
void cw_clock_deadline(int64_t wait_ms, struct timespec *until);

/*
 * 4. Log-linear histogram. Recording is lock-free.
 */
/* Base-2 logarithm of the number of buckets for each power of two. */
#define HIST_SUB_BITS 4
#define HIST_SUB_COUNT (1 << HIST_SUB_BITS)
#define HIST_BUCKETS ((64 - HIST_SUB_BITS) * HIST_SUB_COUNT)

/* C++ has no _Atomic. C++ tests include this header but do not access the
 * fields. */
#ifdef __cplusplus
#define CW_ATOMIC(type) type
#else
#define CW_ATOMIC(type) _Atomic(type)
#endif

struct hist {
	CW_ATOMIC(uint64_t) count;
	CW_ATOMIC(uint64_t) sum;
	CW_ATOMIC(uint64_t) max;
	CW_ATOMIC(uint64_t) bucket[HIST_BUCKETS];
};

void hist_record(struct hist *hist, uint64_t value);
uint64_t hist_quantile(const struct hist *hist, double quantile);
uint64_t hist_count(const struct hist *hist);
double hist_mean(const struct hist *hist);

/*
 * 5. Numbered log events, defined in ev_list.h and documented in
 * docs/events.md.
 */
enum ev_level {
	EV_LEVEL_ERROR,
	EV_LEVEL_WARN,
	EV_LEVEL_INFO,
	EV_LEVEL_DEBUG,
};

enum ev_number {
#define EV(number, name, level, text) name = number,
#include "ev_list.h"
#undef EV
};

/* Receives the formatted line of each event. Any thread may call write. */
struct ev_sink {
	void (*write)(void *ctx, enum ev_number number, enum ev_level level,
	    const char *line);
	void *ctx;
};

/* Event numbers are below this. */
#define EV_NUMBER_LIMIT 1300

void ev_sink_set(const struct ev_sink *sink);
const struct ev_sink *ev_sink_get(void);
int ev_open_log4c(void);
int ev_open_stdout(void);
size_t ev_format_json(const char *fields, char *out, size_t capacity);
void ev_emit(enum ev_number number, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
uint64_t ev_count(enum ev_number number);
const char *ev_text(enum ev_number number);

/*
 * 6. Checks before decoding: MessagePack framing, nesting of JSON
 */
bool cw_msgpack_is_complete(const void *data, size_t bytes, size_t *used);

/* Accepted levels of nested JSON; known messages have at most 6. */
#define CW_JSON_DEPTH_MAX 64

bool cw_json_is_shallow(const void *text, size_t bytes, uint32_t depth_max);

/* A step from a JSON value to one within it. */
struct cw_json_step {
	const char *member; /* of an object; NULL: an element of an array */
	size_t index;
};

void cw_json_place(const char *text, size_t bytes,
    const struct cw_json_step *steps, size_t step_count, uint32_t *line,
    uint32_t *column);

/*
 * 7. Happens-before annotations for ThreadSanitizer. liburcu is not built with
 * it, so its synchronisation is invisible there: writes before the release of
 * an address are visible after an acquire of the same address.
 */
#if defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define CW_TSAN 1
#endif
#endif
#if defined(CW_TSAN) || defined(__SANITIZE_THREAD__)
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define CW_TSAN_ACQUIRE(address) __tsan_acquire((void *)(address))
#define CW_TSAN_RELEASE(address) __tsan_release((void *)(address))
#else
#define CW_TSAN_ACQUIRE(address) ((void)(address))
#define CW_TSAN_RELEASE(address) ((void)(address))
#endif

#ifdef __cplusplus
}
#endif

#endif
