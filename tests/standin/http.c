#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* Reads the complete body. Returns CW_ERANGE if it is too large, CW_EIO if the
 * connection ends early, or CW_ENOMEM. The caller frees body in every case. */
int
si_body_read(struct si_request *request)
{
	long long length = request->info->content_length;
	int received;

	request->body = NULL;
	request->body_bytes = 0;
	if (length > SI_BODY_BYTES_MAX)
		return CW_ERANGE;
	if (length < 0)
		length = 0;
	request->body = malloc((size_t)length + 1);
	if (request->body == NULL)
		return CW_ENOMEM;
	while (request->body_bytes < (size_t)length) {
		received =
		    mg_read(request->conn, request->body + request->body_bytes,
			(size_t)length - request->body_bytes);
		if (received <= 0)
			return CW_EIO;
		request->body_bytes += (size_t)received;
	}
	request->body[request->body_bytes] = '\0';
	return CW_OK;
}

/* Sends one complete answer. Returns status. */
int
si_answer(struct mg_connection *conn, int status, const char *type,
    const void *data, size_t bytes)
{
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, mg_get_response_code_text(conn, status), type, bytes);
	mg_write(conn, data, bytes);
	return status;
}

/* Sends a JSON answer and releases the reference to it. */
int
si_answer_json(struct mg_connection *conn, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	if (text == NULL)
		return si_answer_error(conn, 500, "no memory");
	si_answer(conn, status, "application/json", text, strlen(text));
	free(text);
	return status;
}

/* Sends {"error":text}. */
int
si_answer_error(struct mg_connection *conn, int status, const char *text)
{
	return si_answer_json(conn, status, json_pack("{s:s}", "error", text));
}

/* Closes a connection without an answer after hold_ms, at most
 * SI_SILENCE_MAX_MS. */
int
si_close_without_answer(struct mg_connection *conn, int64_t hold_ms)
{
	if (hold_ms > SI_SILENCE_MAX_MS)
		hold_ms = SI_SILENCE_MAX_MS;
	si_sleep(hold_ms);
	mg_disable_connection_keep_alive(conn);
	return 500;
}

/* Returns a number from the query string, default_value if it is missing. */
int64_t
si_query_number(
    const struct mg_request_info *info, const char *name, int64_t default_value)
{
	const char *query = info->query_string;
	char value[32];

	if (query == NULL ||
	    mg_get_var(query, strlen(query), name, value, sizeof(value)) <= 0)
		return default_value;
	return strtoll(value, NULL, 10);
}

bool
si_method_is(const struct mg_request_info *info, const char *method)
{
	return strcmp(info->request_method, method) == 0;
}
