#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static struct bd_board *board;

struct context {
	struct st_state *state;
	uint64_t position;
};

static int check_record(
    void *ctx, uint32_t index, int status, const struct rec *rec);

/* A record that was decoded must encode again, and no record may make apply
 * fail an assertion. */
static int
check_record(void *ctx, uint32_t index, int status, const struct rec *rec)
{
	struct context *context = ctx;
	void *data;
	size_t bytes;

	(void)index;
	if (status == ST_EMALFORMED)
		return CW_OK;
	if (status == CW_OK) {
		if (rec_encode(rec, &data, &bytes) != CW_OK)
			abort();
		free(data);
	}
	st_apply(context->state, rec, ++context->position);
	return CW_OK;
}

/* Decodes the input as an entry of the log and applies it to empty tables, then
 * loads the same bytes as an image, which must leave the tables consistent. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	struct context context = {0};
	struct rec_sink sink = {check_record, &context};
	enum bd_table_number table;

	if (board == NULL && bd_board_create(&board) != CW_OK)
		abort();
	for (table = 0; table <= BD_TABLE_log_writer; table++)
		bd_clear(board, table, BD_WRITER_STATE);
	if (st_create(&context.state, board) != CW_OK)
		abort();
	rec_batch_decode(data, bytes, &sink);
	st_image_load(context.state, data, bytes, true);
	st_destroy(context.state);
	return 0;
}
