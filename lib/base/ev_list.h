/*
 * Numbered log events: EV(number, name, level, text). The number of a removed
 * event is not reused. Each package has a range of 100 numbers. There is no
 * include guard, because the file is included several times with different
 * definitions of EV.
 */
/* 100: daemon */
EV(101, EV_DAEMON_START, EV_LEVEL_INFO, "daemon started")
EV(102, EV_DAEMON_READY, EV_LEVEL_INFO, "daemon ready for work")
EV(103, EV_DAEMON_DRAIN, EV_LEVEL_INFO, "graceful shutdown started")
EV(104, EV_DAEMON_CUT, EV_LEVEL_WARN, "second signal: work cut short")
EV(105, EV_DAEMON_STOP, EV_LEVEL_INFO, "daemon stopped")
EV(106, EV_DAEMON_RELOADED, EV_LEVEL_INFO, "keys reloaded")
EV(107, EV_DAEMON_RELOAD_FAILED, EV_LEVEL_ERROR, "keys not reloaded")
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
EV(401, EV_MEMBER_JOINED, EV_LEVEL_INFO, "member joined")
EV(402, EV_MEMBER_SUSPECT, EV_LEVEL_WARN, "member suspect")
EV(403, EV_MEMBER_DEAD, EV_LEVEL_WARN, "member dead")
EV(404, EV_MEMBER_LEAVING, EV_LEVEL_INFO, "member leaving")
EV(405, EV_MEMBER_BACK, EV_LEVEL_INFO, "member alive again")
EV(406, EV_MEMBER_REPLACED, EV_LEVEL_INFO, "member replaced at its address")
EV(407, EV_FLEET_PAUSED, EV_LEVEL_WARN, "this VM was paused")
EV(408, EV_DIGEST_MISMATCH, EV_LEVEL_ERROR, "tables differ at one position")
EV(409, EV_RELAY_START, EV_LEVEL_WARN, "log out of reach, asking a peer")
EV(410, EV_RELAY_SNAPSHOT, EV_LEVEL_WARN, "snapshot taken from a peer")
EV(411, EV_PEER_MALFORMED, EV_LEVEL_WARN, "peer message cannot be read")
EV(412, EV_VM_LIST_FAILED, EV_LEVEL_WARN, "platform's VM list failed")
EV(413, EV_DUTIES_RELEASED, EV_LEVEL_INFO, "duties handed over")
EV(414, EV_SHARES_LAPSED, EV_LEVEL_WARN, "leased shares lapsed")
/* 500: scheduling */
EV(501, EV_SCHED_GUARANTEE, EV_LEVEL_ERROR, "guarantee condition is broken")
EV(502, EV_SCHED_JOB_CRASHES, EV_LEVEL_WARN,
    "job failed: it crashes its workers")
/* 600: gangs and leases */
EV(601, EV_GANG_RUNNING, EV_LEVEL_INFO, "all members of a gang run")
EV(602, EV_GANG_DONE, EV_LEVEL_INFO, "all members of a gang are done")
EV(603, EV_GANG_ABORT, EV_LEVEL_WARN, "gang stopped before it was done")
EV(604, EV_GANG_PAUSE, EV_LEVEL_WARN,
    "this VM was paused: leases are proved before they are relied on")
EV(605, EV_GANG_CALL, EV_LEVEL_WARN, "call to workers failed")
EV(606, EV_GANG_CRASH, EV_LEVEL_WARN, "worker has crashed under a gang")
/* 700: requests */
/* 800: platform */
EV(801, EV_PLATFORM_BAD_ANSWER, EV_LEVEL_WARN,
    "answer of the platform cannot be read")
/* 900: links */
EV(951, EV_PEER_STRANGER, EV_LEVEL_WARN, "peer with an unknown key refused")
EV(952, EV_LINK_WAKE, EV_LEVEL_WARN, "client thread cannot be woken")
EV(953, EV_LINK_LATE, EV_LEVEL_WARN, "client thread is late")
/* 1000: HTTP front end */
EV(1001, EV_FRONT_REPEATED, EV_LEVEL_WARN, "event repeated, lines left out")
EV(1002, EV_FRONT_KEY_REFUSED, EV_LEVEL_WARN, "call with a wrong key refused")
EV(1003, EV_FRONT_CONFIG, EV_LEVEL_INFO, "configuration accepted here")
EV(1004, EV_FRONT_BOOTSTRAP, EV_LEVEL_WARN, "first configuration without a key")
EV(1005, EV_FRONT_FAULT, EV_LEVEL_ERROR, "call failed inside the daemon")
EV(1006, EV_FRONT_DRAIN, EV_LEVEL_INFO, "shutdown asked for by an operator")
/* 1100: flows (multi-step jobs) */
EV(1101, EV_FLOW_LOADED, EV_LEVEL_INFO, "newest records read")
EV(1102, EV_FLOW_EXPIRED, EV_LEVEL_WARN, "records expired, reading the newest")
EV(1103, EV_FLOW_STORE_LOST, EV_LEVEL_WARN, "store out of reach")
EV(1104, EV_FLOW_STORE_BACK, EV_LEVEL_INFO, "store in reach again")
EV(1105, EV_FLOW_RECORD_BAD, EV_LEVEL_ERROR, "record not applied")
EV(1106, EV_FLOW_FOLLOW_ENDED, EV_LEVEL_ERROR, "following a topic has ended")
EV(1107, EV_FLOW_DUTY_GAINED, EV_LEVEL_INFO, "placing duty gained")
EV(1108, EV_FLOW_DUTY_LOST, EV_LEVEL_INFO, "placing duty lost")
EV(1109, EV_FLOW_DUTY_ENDED, EV_LEVEL_ERROR, "call about the duty not made")
EV(1110, EV_FLOW_PLACER_ACTIVE, EV_LEVEL_INFO, "placer has taken over")
EV(1111, EV_FLOW_PLACED, EV_LEVEL_INFO, "tasks placed")
EV(1112, EV_FLOW_ENDED, EV_LEVEL_INFO, "run ended")
EV(1113, EV_FLOW_START_FAILED, EV_LEVEL_WARN, "start not carried out")
EV(1114, EV_FLOW_STOP, EV_LEVEL_INFO, "run is stopped")
EV(1115, EV_FLOW_APPEND_FAILED, EV_LEVEL_WARN, "progress not stored")
EV(1116, EV_FLOW_HOST_SILENT, EV_LEVEL_WARN, "worker does not answer")
EV(1117, EV_FLOW_HOST_BACK, EV_LEVEL_INFO, "worker answers again")
EV(1118, EV_FLOW_HOST_REBORN, EV_LEVEL_WARN, "worker has started anew")
EV(1119, EV_FLOW_STATE, EV_LEVEL_INFO, "job has ended")
EV(1120, EV_FLOW_SUBMIT, EV_LEVEL_INFO, "job submitted")
EV(1121, EV_FLOW_CANCEL, EV_LEVEL_INFO, "job cancelled")
EV(1122, EV_FLOW_CONFIG, EV_LEVEL_INFO, "configuration in force")
EV(1123, EV_FLOW_CONFIG_BAD, EV_LEVEL_ERROR, "configuration cannot be read")
EV(1124, EV_FLOW_HOST_BAD, EV_LEVEL_WARN, "worker's entry cannot be read")
EV(1125, EV_FLOW_NO_MEMORY, EV_LEVEL_ERROR, "memory is short")
EV(1126, EV_FLOW_REFUSED, EV_LEVEL_INFO, "call refused")
EV(1127, EV_FLOW_READ_LOST, EV_LEVEL_WARN, "read not answered in full")
EV(1128, EV_FLOW_END_BACK, EV_LEVEL_WARN, "log ends before this VM's position")
EV(1129, EV_FLOW_RUN_PRESUMED, EV_LEVEL_WARN,
    "run counts as over without a listed end")
EV(1130, EV_FLOW_RUN_INCARNATION, EV_LEVEL_WARN,
    "another incarnation of the worker has the run")
EV(1131, EV_FLOW_RUN_STRAY, EV_LEVEL_WARN,
    "worker has a run that does not count as running")
EV(1132, EV_FLOW_HOST_CHANGED, EV_LEVEL_INFO,
    "capacity or incarnation of a worker's entry has changed")
EV(1133, EV_FLOW_HOST_OLD, EV_LEVEL_WARN,
    "earlier incarnation of a worker answers after a later one")
EV(1134, EV_FLOW_HOST_OVERFULL, EV_LEVEL_WARN,
    "runs on a worker need more than its capacity")
EV(1135, EV_FLOW_START_AWAITED, EV_LEVEL_INFO,
    "task waits for a start that may be carried out late")
EV(1136, EV_FLOW_END_VOID, EV_LEVEL_INFO,
    "end of a replaced run acknowledged, as it is void")
EV(1137, EV_FLOW_END_PUT_OFF, EV_LEVEL_INFO, "end acknowledged late")
EV(1140, EV_FLOW_CRASHED, EV_LEVEL_WARN, "worker crashed under a run")
EV(1141, EV_FLOW_GIVEN_UP, EV_LEVEL_WARN, "job given up after crashes")
EV(1142, EV_FLOW_HELD, EV_LEVEL_INFO, "call held while the store is away")
EV(1143, EV_FLOW_WAITS, EV_LEVEL_INFO, "tasks that are ready wait")
EV(1144, EV_FLOW_WAITS_OVER, EV_LEVEL_INFO, "waits of tasks are over")
EV(1145, EV_FLOW_UNDECIDED, EV_LEVEL_WARN,
    "placer cannot decide while jobs wait")
EV(1146, EV_FLOW_UNDECIDED_OVER, EV_LEVEL_INFO,
    "placer could not decide for some time")
EV(1147, EV_FLOW_NOT_READY, EV_LEVEL_WARN, "not ready for callers")
EV(1148, EV_FLOW_READY, EV_LEVEL_INFO, "ready for callers")
EV(1149, EV_FLOW_CHECKPOINT_LONG, EV_LEVEL_WARN,
    "checkpoints too long to be stored")
EV(1150, EV_FLOW_ROW_BAD, EV_LEVEL_WARN,
    "row of a worker's list cannot be read")
EV(1151, EV_FLOW_DEPARTED, EV_LEVEL_INFO, "worker has left, by the store's log")
EV(1152, EV_FLOW_ZONE_EVACUATED, EV_LEVEL_INFO, "evacuation of a zone read")
EV(1153, EV_FLOW_ZONE_OPEN, EV_LEVEL_INFO, "evacuation of a zone withdrawn")
EV(1154, EV_FLOW_ZONE_NOT_HELD, EV_LEVEL_ERROR,
    "evacuation of a zone not held, is read again")
EV(1160, EV_RELAY_FORWARDED, EV_LEVEL_INFO, "call forwarded to a peer")
EV(1161, EV_RELAY_PEER_FAILED, EV_LEVEL_WARN, "peer has not answered")
EV(1162, EV_RELAY_NO_LINK, EV_LEVEL_ERROR, "peer link cannot be opened")
EV(1163, EV_RELAY_SERVED, EV_LEVEL_INFO, "forwarded call served")
EV(1164, EV_RELAY_BAD_MESSAGE, EV_LEVEL_WARN, "message of a peer ignored")
EV(1165, EV_RELAY_ANNOUNCED, EV_LEVEL_INFO, "this VM announced to its peers")
EV(1166, EV_RELAY_PEER_UNHELD, EV_LEVEL_WARN,
    "announcement of a VM cannot be held")
EV(1180, EV_FLOW_STOP_COST, EV_LEVEL_INFO, "run stopped for another job")
