#ifndef CAMPHOR_PLATFORM_INTERNAL_H
#define CAMPHOR_PLATFORM_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include <curl/curl.h>
#include <jansson.h>

#include "platform.h"

/* Idle curl handles kept for reuse, each with one open connection. */
#define PF_HTTP_IDLE_MAX 32

struct pf_http {
	char base_url[CW_NAME_BYTES];
	uint32_t connect_timeout_ms;
	uint32_t call_timeout_ms;
	uint32_t answer_bytes_max;
	struct curl_slist *headers;
	pthread_mutex_t mutex;
	CURL *idle[PF_HTTP_IDLE_MAX];
	size_t idle_count;
	struct {
		atomic_ullong calls, sent, received;
	} traffic[PF_TRAFFIC_KINDS];
};

struct pf_http_call {
	const char *method;
	const char *path;
	uint32_t kind;    /* enum pf_traffic_kind */
	const void *body; /* NULL: none */
	size_t body_bytes;
	uint32_t wait_ms; /* added to the timeout for a long poll */
	/* The time-out holds until the first part of the answer and between
	 * two parts, not for the whole answer. */
	bool is_long;
	bool may_be_unchanged; /* 304 gives PF_UNCHANGED */
	/* The request is sent at most once, and an unreadable answer gives
	 * PF_EUNKNOWN. */
	bool is_change;
	uint32_t requests_issued; /* set by pf_http_call */
	size_t answer_bytes_max;  /* set by pf_http_call */
	char *answer;             /* terminated; the caller frees it */
	size_t answer_bytes;
	int64_t stall_due_ms; /* is_long: the call fails at this time */
	uint32_t stall_ms;    /* is_long: longest pause in the answer */
};

int pf_http_call(struct pf_http *http, struct pf_http_call *call);
int pf_http_call_json(
    struct pf_http *http, struct pf_http_call *call, json_t **json);

void pf_http_log(struct pf_http *http, struct pf_log *out);
void pf_http_vms(struct pf_http *http, struct pf_vm_list *out);
void pf_http_tasks(struct pf_http *http, struct pf_tasks *out);

#endif
