#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define KEYS_MAX 65536
#define SLOW_DELAY_MS 3000

/* Number of runs for each idempotency key: an open-addressing table by the
 * key's hash. When it is half full, runs with new keys only count in
 * untracked_calls. */
static struct {
	uint64_t id;
	uint32_t runs;
} keys[KEYS_MAX];
static uint64_t run_count, key_count, repeated_keys, untracked_calls;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

static void count_run(const char *key);
static int answer_counts(struct mg_connection *conn, const char *key);
static int echo(const struct si_request *request, const char *name);

static void
count_run(const char *key)
{
	uint64_t id = key == NULL ? 0 : cw_id_from_name(key) | 1;
	size_t i, at;

	pthread_mutex_lock(&mutex);
	run_count++;
	for (i = 0; id != 0 && i < KEYS_MAX; i++) {
		at = (id + i) % KEYS_MAX;
		if (keys[at].id != 0 && keys[at].id != id)
			continue;
		if (keys[at].id == 0) {
			if (key_count >= KEYS_MAX / 2) {
				untracked_calls++;
				break;
			}
			key_count++;
		}
		keys[at].id = id;
		if (++keys[at].runs == 2)
			repeated_keys++;
		break;
	}
	pthread_mutex_unlock(&mutex);
}

/* GET /counts[?key=K]: total runs, keys that ran again, runs of key K. */
static int
answer_counts(struct mg_connection *conn, const char *key)
{
	uint64_t id = key == NULL ? 0 : cw_id_from_name(key) | 1;
	json_int_t of_key = 0;
	json_t *json;
	size_t i;

	pthread_mutex_lock(&mutex);
	for (i = 0; id != 0 && i < KEYS_MAX; i++) {
		size_t at = (id + i) % KEYS_MAX;

		if (keys[at].id == 0)
			break;
		if (keys[at].id == id) {
			of_key = keys[at].runs;
			break;
		}
	}
	json = json_pack("{s:I s:I s:I s:I s:I}", "runs", (json_int_t)run_count,
	    "keys", (json_int_t)key_count, "doubled", (json_int_t)repeated_keys,
	    "dropped", (json_int_t)untracked_calls, "key_runs", of_key);
	pthread_mutex_unlock(&mutex);
	return si_answer_json(conn, 200, json);
}

/* Counts the run, waits for the service time and echoes the body. */
static int
echo(const struct si_request *request, const char *name)
{
	const char *id = mg_get_header(request->conn, "X-Request-Id");
	size_t bytes = request->body_bytes;
	size_t sent =
	    si_fault_is_on("runner_truncate", name) ? bytes / 2 : bytes;
	char length[24];

	count_run(mg_get_header(request->conn, "Idempotency-Key"));
	if (si_settings.runner_ms > 0)
		si_sleep(si_settings.runner_ms);
	if (si_fault_is_on("runner_slow", name))
		si_sleep(SLOW_DELAY_MS);
	snprintf(length, sizeof(length), "%zu", bytes + (sent != bytes));
	mg_response_header_start(request->conn, 200);
	mg_response_header_add(
	    request->conn, "Content-Type", "application/json", -1);
	mg_response_header_add(request->conn, "Content-Length", length, -1);
	mg_response_header_add(request->conn, "X-Runner", name, -1);
	if (id != NULL)
		mg_response_header_add(request->conn, "X-Request-Id", id, -1);
	if (sent != bytes)
		mg_disable_connection_keep_alive(request->conn);
	mg_response_header_send(request->conn);
	mg_write(request->conn, request->body, sent);
	return 200;
}

/* Serves every port of the upstream runners. */
int
si_runners_handle(struct mg_connection *conn, void *unused)
{
	struct si_request request = {conn, mg_get_request_info(conn), NULL, 0};
	const char *query = request.info->query_string;
	char name[CW_NAME_BYTES], key[128];
	int status;

	(void)unused;
	snprintf(name, sizeof(name), "runner-%d",
	    request.info->server_port - si_settings.runner_port);
	if (strcmp(request.info->local_uri, "/counts") == 0)
		return answer_counts(conn,
		    query != NULL &&
			    mg_get_var(query, strlen(query), "key", key,
				sizeof(key)) > 0
			? key
			: NULL);
	if (si_body_read(&request) != CW_OK)
		status = si_answer_error(conn, 400, "body cannot be read");
	else if (si_fault_is_silent("runner_silent", name, conn))
		status = si_close_without_answer(conn, SI_SILENCE_MAX_MS);
	else if (si_fault_is_on("runner_fail", name))
		status = si_answer_error(conn, 500, "runner fails");
	else
		status = echo(&request, name);
	free(request.body);
	return status;
}
