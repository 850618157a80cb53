#ifndef CAMPHORCTL_BENCH_H
#define CAMPHORCTL_BENCH_H

#include "cli.h"

#define BENCH_COUNT_MAX 1000000
#define BENCH_THREADS_MAX 64

struct bench {
	struct cli_call call;
	const char *server;
	const char *ca_file;
	int64_t count;       /* requests to send */
	int64_t concurrency; /* threads */
	int64_t elapsed_us;
	struct hist latency_us;  /* of requests answered with 2xx */
	CW_ATOMIC(int64_t) next; /* index of the next request */
	/* Requests by enum cli_exit. */
	CW_ATOMIC(uint64_t) exit_counts[CLI_EXIT_UNAUTHORISED + 1];
};

/* Sends the requests. A thread stops if its first request gets no answer. */
enum cli_exit bench_run(struct bench *bench);
void bench_print(const struct bench *bench, bool is_json, FILE *out);

#endif
