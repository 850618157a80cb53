#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "ledger.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
static void check_record(void *ctx, const struct fw_record *record);
static void check_job(const char *text, size_t size);
static void check_host(const char *text, size_t size);
static void check_report(const char *text, size_t size);
static void check_job_record(const char *text, size_t size);

/* A decoded record has a terminated key and cursor, and no length without a
 * value. */
static void
check_record(void *ctx, const struct fw_record *record)
{
	(void)ctx;
	if ((record->cursor != NULL &&
		strlen(record->cursor) >= FW_CURSOR_BYTES) ||
	    memchr(record->key, '\0', sizeof(record->key)) == NULL ||
	    (record->value == NULL && record->value_bytes != 0))
		abort();
}

/* A job that parses is within the limits. */
static void
check_job(const char *text, size_t size)
{
	static struct pl_job job;

	if (pl_job_parse(text, size, &job) == CW_OK &&
	    (job.step_count == 0 || job.step_count > FW_STEPS_MAX ||
		job.occurrences == 0 || job.text_bytes > FW_TEXT_BYTES_MAX))
		abort();
}

/* A job record that decodes can be encoded again, and does not decode as
 * another kind of record. */
static void
check_job_record(const char *text, size_t size)
{
	struct bd_ledger ledger;
	struct bd_flow *flow;
	size_t bytes;
	void *value;

	if (fw_ledger_decode(text, size, &ledger) == CW_OK &&
	    (ledger.pool_count > BD_LEDGER_POOLS ||
		ledger.account_count > BD_LEDGER_ACCOUNTS ||
		ledger.queue_count > BD_LEDGER_QUEUES))
		abort();
	if (fw_job_decode(text, size, &flow) != CW_OK)
		return;
	if (fw_job_encode(flow, &value, &bytes) != CW_OK)
		abort();
	free(value);
	if (fw_progress_decode(text, size, &flow) == CW_OK ||
	    fw_state_decode(text, size, flow) == CW_OK)
		abort();
	free(flow);
}

/* The times of an entry that names a worker can be stored and added up. */
static void
check_host(const char *text, size_t size)
{
	struct bd_host host;

	if (pl_host_parse("w", text, size, 1, &host) == CW_OK &&
	    (host.incarnation_ms < 0 || host.clock_ms < 0 ||
		host.clock_ms > INT64_MAX / 4 || host.address[0] == '\0'))
		abort();
}

static void
check_report(const char *text, size_t size)
{
	struct fw_report report = {0};
	uint32_t i;

	if (pl_report_parse(text, size, &report) != CW_OK)
		return;
	for (i = 0; i < report.run_count; i++)
		if (report.runs[i].percent > 100)
			abort();
	if (report.incarnation_ms < 0 || report.clock_ms < 0)
		abort();
	fw_report_free(&report);
}

/* Fuzzes the decoders of the platform's messages and of the settings. The first
 * byte of the input, from '0' on, selects the decoder. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct bd_board *board;
	static struct pl_settings settings;
	struct fw_read read = {.record = check_record};
	const char *text;
	uint64_t end;
	bool more;

	if (size == 0 || (board == NULL && bd_board_create(&board) != CW_OK))
		return 0;
	text = (const char *)data + 1;
	size--;
	switch ((uint8_t)(data[0] - '0') % 9) {
	case 0:
		check_job(text, size);
		break;
	case 1:
		(void)pl_config_apply(board, text, size);
		break;
	case 2:
		check_host(text, size);
		break;
	case 3:
		check_report(text, size);
		break;
	case 4:
		(void)pl_records_unpack(text, size, 0, &read, &end);
		break;
	case 5:
		(void)pl_snapshot_page_parse(text, size, &read, &more, &end);
		break;
	case 6:
		check_job_record(text, size);
		break;
	case 7:
		(void)pl_duty_has_owner(text, size, "a");
		break;
	default:
		(void)pl_settings_parse(text, size, &settings);
		break;
	}
	return 0;
}
