#include "flow_internal.h"

/* What keeps a VM from being ready is logged again after this time. */
#define REPEAT_MS 10000

/* Returns what keeps this VM from acting on its configuration. It is in force
 * if it reflects all changes that were acknowledged longer ago than a change
 * may take to be in force, and the newest one could be applied. */
enum fw_unready
fw_config_unready(const struct fw_front *front, int64_t now_ms)
{
	if (fw_setup_refused(front->board, NULL))
		return FW_UNREADY_CONFIG_REFUSED;
	if (!fw_follower_loaded(front->config) ||
	    bd_row_count(front->board, BD_TABLE_setup) == 0)
		return FW_UNREADY_CONFIG_UNREAD;
	if (fw_follower_age_ms(front->config, now_ms) >
	    (int64_t)front->config_age_max_ms)
		return FW_UNREADY_CONFIG_OLD;
	return FW_READY;
}

/* Returns whether this VM may act on its configuration. */
bool
fw_config_in_force(const struct fw_front *front, int64_t now_ms)
{
	return fw_config_unready(front, now_ms) == FW_READY;
}

/* Returns what keeps this VM from serving callers. draining: it is being
 * stopped. */
enum fw_unready
fw_front_unready(const struct fw_front *front, bool draining, int64_t now_ms)
{
	enum fw_unready unready = fw_config_unready(front, now_ms);

	if (draining)
		return FW_UNREADY_DRAINING;
	if (unready != FW_READY)
		return unready;
	if (!fw_follower_loaded(front->jobs))
		return FW_UNREADY_JOBS_UNREAD;
	return fw_follower_stalled(front->jobs, now_ms)
	    ? FW_UNREADY_STORE_SILENT
	    : FW_READY;
}

/* Returns a text for callers and logs. */
const char *
fw_unready_text(enum fw_unready unready)
{
	static const char *const texts[] = {
	    [FW_READY] = "none",
	    [FW_UNREADY_DRAINING] = "this VM is being stopped",
	    [FW_UNREADY_CONFIG_UNREAD] = "no configuration was read yet",
	    [FW_UNREADY_CONFIG_REFUSED] =
		"the newest configuration is not in force on this VM",
	    [FW_UNREADY_CONFIG_OLD] = "no recent configuration on this VM",
	    [FW_UNREADY_JOBS_UNREAD] = "jobs are being read",
	    [FW_UNREADY_STORE_SILENT] = "the store does not answer",
	};

	return texts[unready];
}

void
fw_readiness_init(struct fw_readiness *readiness)
{
	*readiness = (struct fw_readiness){.unready = FW_READY};
	pthread_mutex_init(&readiness->lock, NULL);
}

void
fw_readiness_destroy(struct fw_readiness *readiness)
{
	pthread_mutex_destroy(&readiness->lock);
}

/* Notes what keeps this VM from being ready now. Returns whether that is to be
 * logged: it has changed, or it was last logged some time ago. Sets *lasted_ms
 * to the time for which it was the same, or for which the one before it was. */
bool
fw_readiness_note(struct fw_readiness *readiness, enum fw_unready unready,
    int64_t now_ms, int64_t *lasted_ms)
{
	bool changed;
	bool due;

	pthread_mutex_lock(&readiness->lock);
	changed = !readiness->noted || readiness->unready != unready;
	*lasted_ms = readiness->noted ? now_ms - readiness->since_ms : 0;
	due = changed ||
	    (unready != FW_READY && now_ms - readiness->logged_ms >= REPEAT_MS);
	if (changed)
		readiness->since_ms = now_ms;
	if (due)
		readiness->logged_ms = now_ms;
	readiness->noted = true;
	readiness->unready = unready;
	pthread_mutex_unlock(&readiness->lock);
	return due;
}
