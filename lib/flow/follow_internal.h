#ifndef CAMPHOR_FLOW_FOLLOW_INTERNAL_H
#define CAMPHOR_FLOW_FOLLOW_INTERNAL_H

/* Included by the follower's files only. */

#include <stdatomic.h>

#include "flow_internal.h"
#include "record_buffer.h"

struct fw_follower {
	struct bd_board *board;
	struct fw_store store;
	struct fw_follow_spec spec;
	atomic_bool stopped;
	atomic_bool loaded;
	atomic_uint read_interval_ms;
	atomic_uint_least64_t position;     /* offset of the next record */
	atomic_uint_least64_t catch_up_end; /* see fw_follower_catch_up */
	atomic_int_least64_t synced_ms;     /* see fw_follower_age_ms */
	atomic_int_least64_t read_sent_ms;  /* send time of the latest read */
	atomic_bool read_failed;            /* the last read has failed */
	atomic_bool paused;
	atomic_bool refreshing; /* see fw_follower_refresh */
	atomic_uint refresh_delay_ms;
	/* Owned by the platform's thread: */
	bool read_pending;   /* a read or the timer before it is pending */
	bool reload_pending; /* load again once that read has ended */
	bool loading;        /* is reading a snapshot, page by page */
	char cursor[FW_CURSOR_BYTES]; /* loading: of the last record */
	uint64_t first_end;           /* end of the log at the first page */
	bool first_page;
	bool page_incomplete; /* a record of a page was left out */
	bool behind; /* has not reached the end of the log since the load */
	bool end_unknown;     /* newest_suffices: the next read is end_only */
	int64_t load_sent_ms; /* send time of the first page's read */
	int64_t page_read_ms; /* loading: as record.read_ms, of the last page */
	uint64_t read_from;   /* position when the pending read was sent */
	uint64_t refresh_from; /* the same of the pending refresh */
	bool unanswered;       /* the read before the pending one */
	bool held;             /* a record of this read could not be applied */
	struct fw_record_buffer buffered; /* records of the pages so far */
	uint32_t retry_ms;
	int64_t now_ms;
};

#endif
