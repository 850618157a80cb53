#include <assert.h>
#include <stdlib.h>

#include "report_internal.h"

/* Records after the period are ignored, but clocks of VMs differ: only this
 * long after its end no record of the period can follow. */
#define CLOCK_SLACK_MS 60000
#define VIEW_FIRST 64
#define VIEW_GROWTH 8

/* A log that ends at an offset of its snapshot stream. */
struct view {
	const struct pf_log *log;
	uint64_t next;
	const struct pf_log_sink *sink; /* of the read that runs */
};

/* What the entries are read into. */
struct replay {
	struct rp_builder *builder;
	uint64_t next;   /* offset of the entry that is needed next */
	uint64_t offset; /* of the entry that is read */
	int code;
	bool is_past;
};

static int view_range(
    void *ctx, const char *stream, struct pf_log_range *range);
static int view_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int view_read(void *ctx, const char *stream, uint64_t from,
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

static int
view_range(void *ctx, const char *stream, struct pf_log_range *range)
{
	const struct view *view = ctx;
	int code = view->log->range(view->log->ctx, stream, range);

	if (code == CW_OK && range->next > view->next)
		range->next = view->next;
	return code;
}

static int
view_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	const struct view *view = ctx;

	if (offset >= view->next)
		return CW_OK;
	return view->sink->entry(view->sink->ctx, offset, data, bytes);
}

static int
view_read(void *ctx, const char *stream, uint64_t from, uint32_t wait_ms,
    const struct pf_log_sink *sink)
{
	struct view *view = ctx;
	struct pf_log_sink cut = {view_entry, view};

	view->sink = sink;
	return view->log->read(view->log->ctx, stream, from, wait_ms, &cut);
}

/*
 * Finds an early image from which the kept records follow on without a gap;
 * the newest one would leave little to report. *image is NULL where there is
 * none. Returns RP_EUNAVAILABLE.
 */
static int
find_image(
    const struct pf_log *log, uint64_t first, void **image, size_t *bytes)
{
	struct view view = {.log = log};
	struct pf_log cut = {
	    .read = view_read, .range = view_range, .ctx = &view};
	struct pf_log_range range;
	struct st_image header;
	uint64_t size;

	*image = NULL;
	if (log->range(log->ctx, ST_SNAPSHOT_STREAM, &range) != CW_OK)
		return RP_EUNAVAILABLE;
	for (size = VIEW_FIRST;; size *= VIEW_GROWTH) {
		view.next = range.next - range.first < size
		    ? range.next
		    : range.first + size;
		if (st_snapshot_read(&cut, image, bytes) != CW_OK)
			return RP_EUNAVAILABLE;
		if (*image != NULL &&
		    st_image_header(*image, *bytes, &header) == CW_OK &&
		    (header.basis >> REC_POSITION_INDEX_BITS) + 1 >= first)
			return CW_OK;
		free(*image);
		*image = NULL;
		if (view.next == range.next)
			return CW_OK;
	}
}

/* Returns the time of the latest record that an image holds. */
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

/* Loads an image where the first records are no longer kept, and notes from
 * when on the report is complete. */
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
	builder->promises_ms = time_ms;
	if (time_ms > report->from_ms)
		report->covered_from_ms =
		    time_ms < report->to_ms ? time_ms : report->to_ms;
	code = rp_accounts_reload(builder);
	if (code == CW_OK)
		code = rp_jobs_load(builder, time_ms);
	return code;
}

static int
replay_record(void *ctx, uint32_t index, int status, const struct rec *rec)
{
	struct replay *replay = ctx;

	if (status == ST_EMALFORMED)
		return CW_OK;
	if (rec->time_ms >= replay->builder->report.to_ms + CLOCK_SLACK_MS)
		replay->is_past = true;
	replay->code = rp_builder_apply(
	    replay->builder, rec, st_position_make(replay->offset, index + 1));
	return replay->code;
}

static int
replay_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct replay *replay = ctx;
	struct rec_sink sink = {replay_record, replay};

	if (offset != replay->next)
		return CW_OK;
	replay->offset = offset;
	replay->next++;
	/* An entry that cannot be read is skipped by every VM. */
	rec_batch_decode(data, bytes, &sink);
	return replay->code;
}

static int
replay_all(struct rp_builder *builder, const struct pf_log *log, uint64_t next)
{
	struct replay replay = {.builder = builder};
	struct pf_log_sink sink = {replay_entry, &replay};
	uint64_t before;
	int code;

	replay.next = st_next_offset(builder->state);
	while (replay.next < next && !replay.is_past) {
		before = replay.next;
		code = log->read(log->ctx, ST_RECORD_STREAM, before, 0, &sink);
		if (replay.code != CW_OK)
			return replay.code;
		if (code != CW_OK || replay.next == before)
			return cw_error_set(RP_EUNAVAILABLE,
			    "the log cannot be read: %s", pf_status_name(code));
	}
	return CW_OK;
}

/*
 * Reads the records of a period from the log into a new builder, which the
 * caller finishes and destroys. Returns RP_EUNAVAILABLE, RP_EINVALID,
 * RP_ENOMEM or RP_EMALFORMED.
 */
int
rp_read(const struct pf_log *log, int64_t from_ms, int64_t to_ms,
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
