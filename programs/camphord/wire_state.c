#include <assert.h>

#include "daemon.h"

/* Half of the shortest log retention that is expected. */
#define SNAPSHOT_AGE_MAX_MS (30 * 60 * 1000)
#define SNAPSHOT_TAIL_BYTES_MAX (4 * 1024 * 1024)
/* Long poll: an idle daemon calls the log every 2 s. */
#define LOG_POLL_MS 2000
/* After this, the outcome of a record is reported as unknown. */
#define WRITER_OUTCOME_TIMEOUT_MS 4000

/*
 * Creates the tables, the log follower and the writer, and recovers the tables
 * from the log. An unreachable log is not an error, because a peer may provide
 * a snapshot image.
 */
int
wire_state(struct daemon *daemon)
{
	struct st_follower_options follower = {
	    .poll_ms = LOG_POLL_MS,
	    .snapshot_age_ms = SNAPSHOT_AGE_MAX_MS,
	    .snapshot_bytes = SNAPSHOT_TAIL_BYTES_MAX,
	};
	struct st_writer_options writer = {
	    .incarnation = daemon->self,
	    .outcome_timeout_ms = WRITER_OUTCOME_TIMEOUT_MS,
	};
	struct st_observer observer;
	int code;

	code = bd_board_create(&daemon->board);
	if (code == CW_OK)
		code = st_create(&daemon->state, daemon->board);
	if (code == CW_OK)
		code = st_follower_create(&daemon->follower, daemon->state,
		    &daemon->platform.log, &daemon->mono, &follower);
	if (code == CW_OK)
		code = st_writer_create(&daemon->writer, &daemon->platform.log,
		    &daemon->wall, &writer);
	if (code != CW_OK)
		return code;
	observer = st_writer_observer(daemon->writer);
	st_follower_observer_add(daemon->follower, &observer);
	daemon->sink = st_writer_sink(daemon->writer);
	daemon->snapshotter.follower = daemon->follower;
	daemon->snapshotter.self = daemon->self;
	code = st_follower_recover(daemon->follower);
	if (code != CW_OK && code != ST_EUNAVAILABLE)
		return code;
	code = st_follower_start(daemon->follower);
	if (code == CW_OK)
		code = st_writer_start(daemon->writer);
	return code;
}
