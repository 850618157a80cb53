#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base.h"

/* Rate limit for each event number, so that a flood of one event does not crowd
 * out the others. Suppressed lines are counted, and the next line reports the
 * count in "left_out". */
#define LINES_PER_S_MAX 40
#define LINE_BYTES 1400

static atomic_int_least64_t window_s;
static atomic_uint window_lines[EV_NUMBER_LIMIT];
static atomic_uint_least64_t suppressed_lines;

static void write_line(
    void *ctx, enum ev_number number, enum ev_level level, const char *line);

static const struct ev_sink stdout_sink = {write_line, NULL};

/* Appends one character of a JSON string, escaped; control characters become
 * spaces. Returns the new length. */
static size_t
append_char(char *out, size_t used, char c)
{
	if (c == '"' || c == '\\')
		out[used++] = '\\';
	out[used++] = (unsigned char)c < 0x20 ? ' ' : c;
	return used;
}

/*
 * Formats the fields of an event, key=value or key="value with spaces", as
 * members of a JSON object, all of them strings. Formatting ends before the
 * first field that does not fit. Returns the length without the terminator.
 */
size_t
ev_format_json(const char *fields, char *out, size_t capacity)
{
	size_t used = 0;

	out[0] = '\0';
	while (*fields != '\0') {
		size_t start = used;
		bool quoted;

		fields += strspn(fields, " ");
		if (*fields == '\0' || strchr(fields, '=') == NULL)
			break;
		if (used + 8 >= capacity)
			break;
		used += (size_t)snprintf(out + used, capacity - used, ",\"");
		while (*fields != '=' && used + 8 < capacity)
			used = append_char(out, used, *fields++);
		fields += *fields == '=';
		quoted = *fields == '"';
		fields += quoted;
		if (used + 8 < capacity)
			used += (size_t)snprintf(
			    out + used, capacity - used, "\":\"");
		while (*fields != '\0' && *fields != (quoted ? '"' : ' ') &&
		    used + 8 < capacity)
			used = append_char(out, used, *fields++);
		if (used + 8 >= capacity) {
			out[start] = '\0';
			return start;
		}
		out[used++] = '"';
		out[used] = '\0';
		fields += quoted && *fields == '"';
	}
	return used;
}

static void
write_line(
    void *ctx, enum ev_number number, enum ev_level level, const char *line)
{
	static const char *const levels[] = {"error", "warn", "info", "debug"};
	int64_t now_ms = cw_clock_wall_ms();
	int64_t window = atomic_load(&window_s);
	char fields[LINE_BYTES];
	char text[LINE_BYTES + 200];
	uint64_t suppressed;
	int n;
	int i;

	(void)ctx;
	if (window != now_ms / 1000 &&
	    atomic_compare_exchange_strong(&window_s, &window, now_ms / 1000))
		for (i = 0; i < EV_NUMBER_LIMIT; i++)
			atomic_store(&window_lines[i], 0);
	if (atomic_fetch_add(&window_lines[number], 1) >= LINES_PER_S_MAX) {
		atomic_fetch_add(&suppressed_lines, 1);
		return;
	}
	suppressed = atomic_exchange(&suppressed_lines, 0);
	ev_format_json(line, fields, sizeof(fields));
	n = snprintf(text, sizeof(text),
	    "{\"ms\":%lld,\"level\":\"%s\",\"left_out\":%llu%s}\n",
	    (long long)now_ms, levels[level], (unsigned long long)suppressed,
	    fields);
	if (n > 0 && write(STDOUT_FILENO, text, (size_t)n) < 0)
		atomic_fetch_add(&suppressed_lines, suppressed + 1);
}

/* Writes events to standard output, one JSON object per line. Standard output
 * becomes non-blocking: a line that cannot be written counts as suppressed.
 * Returns CW_EIO if the mode cannot be set. */
int
ev_open_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0 &&
	    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0)
		return cw_error_set(
		    CW_EIO, "standard output: %s", strerror(errno));
	ev_sink_set(&stdout_sink);
	return CW_OK;
}
