/*
 * Numbered log events: EV(number, name, level, text). Numbers are never used
 * again. Each package has its own hundred. No include guard: the file is
 * included several times with different definitions of EV.
 */
/* 100: daemon */
EV(101, EV_DAEMON_START, EV_LEVEL_INFO, "daemon started")
EV(102, EV_DAEMON_READY, EV_LEVEL_INFO, "daemon ready for work")
EV(103, EV_DAEMON_DRAIN, EV_LEVEL_INFO, "graceful shutdown started")
EV(104, EV_DAEMON_CUT, EV_LEVEL_WARN, "second signal: work cut short")
EV(105, EV_DAEMON_STOP, EV_LEVEL_INFO, "daemon stopped")
/* 200: configuration */
/* 300: state and log */
EV(301, EV_STATE_RECORD_MALFORMED, EV_LEVEL_WARN, "malformed record skipped")
EV(302, EV_STATE_KIND_UNKNOWN, EV_LEVEL_WARN,
    "record of an unknown kind or version skipped")
EV(303, EV_STATE_LOG_LOST, EV_LEVEL_WARN, "log out of reach")
EV(304, EV_STATE_LOG_BACK, EV_LEVEL_INFO, "log in reach again")
EV(305, EV_STATE_LOG_EXPIRED, EV_LEVEL_WARN,
    "records expired, loading a snapshot")
EV(306, EV_STATE_SNAPSHOT_LOADED, EV_LEVEL_INFO, "snapshot loaded")
EV(307, EV_STATE_SNAPSHOT_BAD, EV_LEVEL_WARN, "snapshot ignored")
EV(308, EV_STATE_SNAPSHOT_WRITTEN, EV_LEVEL_INFO, "snapshot written")
EV(309, EV_STATE_SNAPSHOT_FAILED, EV_LEVEL_WARN, "snapshot not written")
EV(310, EV_STATE_DIGEST_DIFFERS, EV_LEVEL_ERROR,
    "tables differ from a peer's at the same position")
EV(311, EV_STATE_REBUILT, EV_LEVEL_WARN, "tables rebuilt from the log")
EV(312, EV_STATE_REBUILD_FAILED, EV_LEVEL_ERROR, "tables not rebuilt")
EV(313, EV_STATE_BATCH_UNKNOWN, EV_LEVEL_WARN,
    "append without an answer, repeating it")
/* 400: fleet */
/* 500: scheduling */
/* 600: gangs and leases */
EV(601, EV_GANG_RUNNING, EV_LEVEL_INFO, "all members of a gang run")
EV(602, EV_GANG_DONE, EV_LEVEL_INFO, "all members of a gang are done")
EV(603, EV_GANG_ABORT, EV_LEVEL_WARN, "gang stopped before it was done")
EV(604, EV_GANG_PAUSE, EV_LEVEL_WARN,
    "this VM was paused: leases are proved before they are relied on")
EV(605, EV_GANG_CALL, EV_LEVEL_WARN, "call to workers failed")
/* 700: requests */
/* 800: platform */
EV(801, EV_PLATFORM_BAD_ANSWER, EV_LEVEL_WARN,
    "answer of the platform cannot be read")
/* 900: links */
/* 1000: front */
