#include <assert.h>
#include <stdlib.h>

#include "report_internal.h"

/* Reading stops at a record this much later than the end of the period: because
 * VM clocks differ, records of the period may follow later ones. */
#define CLOCK_SKEW_MAX_MS 60000
/* Entries of the snapshot stream to search first, and the factor by which the
 * search is extended. */
#define SNAPSHOT_SEARCH_ENTRIES 64
#define SNAPSHOT_SEARCH_GROWTH 8

/* A log whose snapshot stream appears to end at an offset. */
struct log_prefix {
	const struct pf_log *log;
	uint64_t next;                  /* end offset */
	const struct pf_log_sink *sink; /* of the current read */
};

/* Applies log entries to a builder. */
struct replay {
	struct rp_builder *builder;
	uint64_t next;   /* offset of the next entry to apply */
	uint64_t offset; /* offset of the current entry */
	int code;
	bool is_past_period;
};

static int prefix_range(
    void *ctx, const char *stream, struct pf_log_range *range);
static int prefix_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int prefix_read(void *ctx, const char *stream, uint64_t from,
    uint32_t wait_ms, const struct pf_log_sink *sink);
static int find_image(
    const struct pf_log *log, uint64_t first, void **image, size_t *bytes);
static int64_t image_time(const struct bd_board *board);
static int load_image(
    struct rp_builder *builder, const struct pf_log *log, uint64_t first);
static int replay_record(
    void *ctx, uint32_t index, int status, const struct rec *rec);
static int replay_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int replay_all(
    struct rp_builder *builder, const struct pf_log *log, uint64_t next);

/* Returns the range of a stream, cut at prefix->next. */
static int
prefix_range(void *ctx, const char *stream, struct pf_log_range *range)
{
	const struct log_prefix *prefix = ctx;
	int code = prefix->log->range(prefix->log->ctx, stream, range);

	if (code == CW_OK && range->next > prefix->next)
		range->next = prefix->next;
	return code;
}

/* Delivers entries before prefix->next and ignores later ones. */
static int
prefix_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	const struct log_prefix *prefix = ctx;

	if (offset >= prefix->next)
		return CW_OK;
	return prefix->sink->entry(prefix->sink->ctx, offset, data, bytes);
}

static int
prefix_read(void *ctx, const char *stream, uint64_t from, uint32_t wait_ms,
    const struct pf_log_sink *sink)
{
	struct log_prefix *prefix = ctx;
	struct pf_log_sink prefix_sink = {prefix_entry, prefix};

	prefix->sink = sink;
	return prefix->log->read(
	    prefix->log->ctx, stream, from, wait_ms, &prefix_sink);
}

/*
 * Finds an early snapshot image that the retained records, which start at
 * offset first, continue without a gap. An early one covers more of the period
 * than the latest. Sets *image, which the caller frees, to NULL if there is
 * none. Returns RP_EUNAVAILABLE if the log cannot be read.
 */
static int
find_image(
    const struct pf_log *log, uint64_t first, void **image, size_t *bytes)
{
	struct log_prefix prefix = {.log = log};
	struct pf_log prefix_log = {
	    .read = prefix_read, .range = prefix_range, .ctx = &prefix};
	struct pf_log_range range;
	struct st_image header;
	uint64_t size;

	*image = NULL;
	if (log->range(log->ctx, ST_SNAPSHOT_STREAM, &range) != CW_OK)
		return RP_EUNAVAILABLE;
	for (size = SNAPSHOT_SEARCH_ENTRIES;; size *= SNAPSHOT_SEARCH_GROWTH) {
		prefix.next = range.next - range.first < size
		    ? range.next
		    : range.first + size;
		if (st_snapshot_read(&prefix_log, image, bytes) != CW_OK)
			return RP_EUNAVAILABLE;
		if (*image != NULL &&
		    st_image_header(*image, *bytes, &header) == CW_OK &&
		    (header.last_position >> REC_POSITION_INDEX_BITS) + 1 >=
			first)
			return CW_OK;
		free(*image);
		*image = NULL;
		if (prefix.next == range.next)
			return CW_OK;
	}
}

/* Returns the time of the latest record in a loaded image. */
static int64_t
image_time(const struct bd_board *board)
{
	const struct bd_log_writer *row;
	uint32_t cursor = 0;
	int64_t latest = 0;

	bd_read_begin();
	while ((row = bd_log_writer_next(board, &cursor)) != NULL)
		if (row->last_ms > latest)
			latest = row->last_ms;
	bd_read_end();
	return latest;
}

/* Loads a snapshot image because records before offset first have expired, and
 * sets the time from which the report is complete. */
static int
load_image(struct rp_builder *builder, const struct pf_log *log, uint64_t first)
{
	struct rp_report *report = &builder->report;
	int64_t time_ms;
	size_t bytes;
	void *image;
	int code;

	code = find_image(log, first, &image, &bytes);
	if (code == CW_OK && image == NULL)
		return cw_error_set(RP_EUNAVAILABLE,
		    "the first records are gone and there is no snapshot");
	if (code != CW_OK)
		return cw_error_set(code, "the snapshots cannot be read");
	code = st_image_load(builder->state, image, bytes, false);
	free(image);
	if (code != CW_OK)
		return cw_error_set(RP_EMALFORMED,
		    "the snapshot cannot be loaded: %s", st_status_name(code));
	time_ms = image_time(builder->board);
	builder->now_ms = time_ms;
	builder->promises_accrued_ms = time_ms;
	if (time_ms > report->from_ms)
		report->covered_from_ms =
		    time_ms < report->to_ms ? time_ms : report->to_ms;
	code = rp_accounts_reload(builder);
	if (code == CW_OK)
		code = rp_jobs_load(builder, time_ms);
	return code;
}

/* Applies one record of the current entry; malformed ones are skipped. */
static int
replay_record(void *ctx, uint32_t index, int status, const struct rec *rec)
{
	struct replay *replay = ctx;

	if (status == ST_EMALFORMED)
		return CW_OK;
	if (rec->time_ms >= replay->builder->report.to_ms + CLOCK_SKEW_MAX_MS)
		replay->is_past_period = true;
	replay->code = rp_builder_apply(
	    replay->builder, rec, st_position_make(replay->offset, index + 1));
	return replay->code;
}

/* Applies the records of the next entry; other entries are ignored. */
static int
replay_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct replay *replay = ctx;
	struct rec_sink sink = {replay_record, replay};

	if (offset != replay->next)
		return CW_OK;
	replay->offset = offset;
	replay->next++;
	/* Every VM skips entries that cannot be decoded. */
	rec_batch_decode(data, bytes, &sink);
	return replay->code;
}

/* Applies the log entries before offset next until the period is over. Returns
 * RP_EUNAVAILABLE if one cannot be read, or RP_ENOMEM. */
static int
replay_all(struct rp_builder *builder, const struct pf_log *log, uint64_t next)
{
	struct replay replay = {.builder = builder};
	struct pf_log_sink sink = {replay_entry, &replay};
	uint64_t offset;
	int code;

	replay.next = st_next_offset(builder->state);
	while (replay.next < next && !replay.is_past_period) {
		offset = replay.next;
		code = log->read(log->ctx, ST_RECORD_STREAM, offset, 0, &sink);
		if (replay.code != CW_OK)
			return replay.code;
		if (code != CW_OK || replay.next == offset)
			return cw_error_set(RP_EUNAVAILABLE,
			    "the log cannot be read: %s", pf_status_name(code));
	}
	return CW_OK;
}

/*
 * Reads the records of a period from the log into a new builder, which the
 * caller finishes and destroys. Returns RP_EUNAVAILABLE if the log is
 * unreachable or has a gap, RP_EINVALID if the period is empty, RP_ENOMEM, or
 * RP_EMALFORMED if a snapshot cannot be loaded.
 */
int
rp_log_read(const struct pf_log *log, int64_t from_ms, int64_t to_ms,
    struct rp_builder **out)
{
	struct rp_builder *builder;
	struct pf_log_range range;
	int code;

	assert(log != NULL && out != NULL);
	code = rp_builder_create(&builder, from_ms, to_ms);
	if (code != CW_OK)
		return code;
	code = log->range(log->ctx, ST_RECORD_STREAM, &range);
	if (code != CW_OK)
		code = cw_error_set(RP_EUNAVAILABLE,
		    "the log is out of reach: %s", pf_status_name(code));
	if (code == CW_OK && range.first > 0)
		code = load_image(builder, log, range.first);
	if (code == CW_OK)
		code = replay_all(builder, log, range.next);
	if (code != CW_OK) {
		rp_builder_destroy(builder);
		return code;
	}
	*out = builder;
	return CW_OK;
}
