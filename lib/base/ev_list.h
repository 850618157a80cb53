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
/* 600: gangs and leases */
/* 700: requests */
/* 800: platform */
/* 900: links */
EV(951, EV_PEER_STRANGER, EV_LEVEL_WARN, "peer with an unknown key refused")
/* 1000: front */
