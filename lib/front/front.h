#ifndef CAMPHOR_FRONT_H
#define CAMPHOR_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "config.h"
#include "http_server.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes and errors
 */
enum fr_status {
	FR_ESYNTAX = CW_BASE_FRONT - 1, /* request or JSON cannot be read */
	FR_ENOKEY = CW_BASE_FRONT - 2,  /* no key, or a wrong one */
	FR_EFORBIDDEN = CW_BASE_FRONT - 3,
	FR_ENOTFOUND = CW_BASE_FRONT - 4,
	FR_ECONFLICT = CW_BASE_FRONT - 5,
	FR_EINVALID = CW_BASE_FRONT - 6,     /* a value, or a refused text */
	FR_EUNAVAILABLE = CW_BASE_FRONT - 7, /* had and will have no effect */
	FR_EUNKNOWN = CW_BASE_FRONT - 8,     /* had an effect perhaps */
	FR_ENOMEM = CW_BASE_FRONT - 9,
	FR_EINTERNAL = CW_BASE_FRONT - 10,
};

const char *fr_status_name(int code);

/* What a caller is told of a failed call. */
struct fr_error {
	int code;                /* enum fr_status */
	uint32_t retry_after_ms; /* 0: a repeat does not help */
	uint64_t version;        /* in force, with a configuration conflict */
	char field[32];          /* at fault, "" for none */
	char text[200];
};

int fr_error_set(struct fr_error *error, int code, const char *field,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * 2. Who asks
 */
enum fr_right {
	FR_RIGHT_CALLER,
	FR_RIGHT_OPERATOR,
	FR_RIGHT_BOOTSTRAP, /* operator, or anybody while there is no text */
};

struct fr_caller {
	uint64_t account; /* 0: bootstrap */
	uint32_t role;    /* enum bd_role */
	uint32_t reserved;
	char name[CW_NAME_BYTES];
};

int fr_auth_check(const struct bd_board *board, const char *account,
    const char *key, enum fr_right right, struct fr_caller *caller);

#ifdef __cplusplus
}
#endif

#endif
