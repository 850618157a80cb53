#include <gtest/gtest.h>

#include "fleet_sim.h"

namespace {

// Appends records that every VM rejects alike, which advances positions.
void
append(struct sim *sim, uint32_t vm, uint32_t count)
{
	struct rec rec = {};

	rec.kind = REC_DUTY;
	rec.body.duty.duty = BD_DUTY_END;
	while (count-- > 0)
		ASSERT_EQ(sim_propose(&sim->vms[vm], &rec, nullptr), CW_OK);
}

// Guards against records that take more than 4 s to reach a VM without the log:
// the log is known to be unreachable, or does not answer; entries of 1 KB, and
// of 300 KB, which need several messages; 5% loss.
TEST(FleetRelay, RecordsReachVmsWithoutTheLogWithin4s)
{
	const struct {
		const char *what;
		bool reported;
		size_t pad_bytes;
		uint32_t count;
	} cases[] = {{"reported, small", true, 1000, 100},
	    {"reported, large", true, 300000, 2},
	    {"not reported", false, 1000, 10}};
	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		struct sim *sim = sim_create(5, 2);
		sim->latency_ms = 30;
		sim->loss_percent = 5;
		sim->pad_bytes = c.pad_bytes;
		sim_run(sim, 15000);
		// VMs 0 and 1 cannot reach the log; where it only does not
		// answer, the follower still reports it as reachable.
		sim->vms[0].log_unreachable_since_ms =
		    c.reported ? sim->now_ms : INT64_MAX / 2;
		sim->vms[1].log_unreachable_since_ms =
		    sim->vms[0].log_unreachable_since_ms;
		append(sim, 3, c.count);
		sim_run(sim, 4000);
		for (uint32_t i = 0; i < 5; i++)
			EXPECT_EQ(sim->vms[i].next_offset, sim->log_count);
		EXPECT_EQ(
		    st_digest(sim->vms[0].state), st_digest(sim->vms[4].state));
		sim_destroy(sim);
	}
}

// Guards against billed traffic between regions that is counted as traffic
// within one.
TEST(FleetRelay, CrossRegionBytesAreCounted)
{
	struct sim *sim = sim_create(3, 7);
	struct fl_traffic_counters other_region, same_region;
	sim->other_region_vms = 1;
	sim_kill(sim, 0);
	sim_start(sim, 0);
	sim_run(sim, 15000);
	fl_traffic_read(sim->vms[0].fleet, &other_region);
	fl_traffic_read(sim->vms[1].fleet, &same_region);
	uint64_t cross = same_region.cross_region_bytes[FL_MSG_HEARTBEAT];
	EXPECT_GT(cross, 0u);
	EXPECT_LT(cross, same_region.sent_bytes[FL_MSG_HEARTBEAT] * 2 / 3);
	EXPECT_GT(other_region.cross_region_bytes[FL_MSG_HEARTBEAT],
	    other_region.sent_bytes[FL_MSG_HEARTBEAT] * 3 / 4);
	sim_destroy(sim);
}

// Guards against a relay that waits forever for one peer that does not answer.
TEST(FleetRelay, UnresponsivePeerIsReplacedByAnother)
{
	struct sim *sim = sim_create(4, 5);
	sim_run(sim, 15000);
	sim->vms[0].log_unreachable_since_ms = sim->now_ms;
	append(sim, 3, 10);
	// VM 0 receives from all others, but only VM 2 receives from VM 0.
	sim->link_down[0][1] = sim->link_down[0][3] = true;
	sim_run(sim, 6000);
	EXPECT_EQ(sim->vms[0].next_offset, sim->log_count);
	sim_destroy(sim);
}

// Guards against loads that never arrive: more changes than fit into one
// heartbeat, 5% loss, and a VM that joins late.
TEST(FleetRelay, LoadsReachEveryMember)
{
	struct sim *sim = sim_create(5, 8);
	sim->loss_percent = 5;
	sim_kill(sim, 4);
	for (uint32_t vm = 0; vm < 4; vm++)
		for (uint32_t i = 0; i < SIM_UPSTREAMS; i++)
			sim->vms[vm].loads[i] = (vm + i) % 9;
	sim_run(sim, 5000);
	sim_start(sim, 4);
	sim_run(sim, 30000);
	EXPECT_LT(sim_load_error(sim), 0.1);
	sim_run(sim, 120000);
	EXPECT_EQ(sim_load_error(sim), 0.0);
	sim_destroy(sim);
}

// Guards against tables that differ undetected, and against all VMs rebuilding
// because one VM is faulty.
TEST(FleetRelay, OnlyVmWithDifferentDigestRebuilds)
{
	struct sim *sim = sim_create(5, 6);
	sim_run(sim, 15000);
	uint64_t events = ev_count(EV_DIGEST_MISMATCH);
	sim->vms[2].digest_flip = 1;
	sim_run(sim, 3000);
	EXPECT_GT(ev_count(EV_DIGEST_MISMATCH), events);
	for (uint32_t i = 0; i < 5; i++)
		EXPECT_EQ(sim->vms[i].rebuilds, i == 2 ? 1u : 0u) << i;
	sim_destroy(sim);
}

// A state that serves a snapshot image in parts and stores the installed one.
struct SnapshotStub {
	std::string bytes;
	std::string installed;
	uint64_t position = 7;

	static int
	read(void *ctx, uint64_t start, void *buffer, size_t bytes_max,
	    size_t *bytes, uint64_t *total, uint64_t *position)
	{
		SnapshotStub *image = static_cast<SnapshotStub *>(ctx);
		*total = image->bytes.size();
		*position = image->position;
		*bytes = std::min<size_t>(bytes_max, *total - start);
		memcpy(buffer, image->bytes.data() + start, *bytes);
		return CW_OK;
	}
	static int
	install(void *ctx, uint64_t, const void *data, size_t bytes)
	{
		static_cast<SnapshotStub *>(ctx)->installed.assign(
		    static_cast<const char *>(data), bytes);
		return CW_OK;
	}
};

// Guards against a snapshot that is assembled from parts of two images, and
// against one that is never requested where the entries are no longer retained.
TEST(FleetRelay, SnapshotPartsComeFromOneImage)
{
	struct fl_members members = {};
	struct fl_relay relay = {};
	struct bd_member self = {};
	struct fl_heartbeat heartbeat = {};
	struct fl_state_hooks hooks = {};
	struct fl_relay_input input = {0, 0, 0};
	struct fl_msg request = {};
	SnapshotStub image;
	int64_t next = INT64_MAX;

	image.bytes.assign(200000, 'a');
	hooks.snap_install = SnapshotStub::install;
	hooks.ctx = &image;
	self.id = 1;
	fl_members_init(&members, &self, 1000);
	heartbeat.has_identity = 1;
	heartbeat.position = 99;
	fl_members_heartbeat(&members, 2, &heartbeat, 1000);
	ASSERT_TRUE(
	    fl_relay_decide(&relay, &members, &input, 1000, &request, &next));
	EXPECT_EQ(request.kind, (uint32_t)FL_MSG_TAIL_GET);
	struct fl_tail tail = {};
	tail.expired = 1;
	ASSERT_EQ(fl_relay_tail(&relay, 2, &tail, &hooks), CW_OK);
	for (int part = 0; part < 8 && image.installed.empty(); part++) {
		static unsigned char buffer[FL_MSG_DATA_BYTES_MAX];
		struct fl_snap snap = {};
		size_t bytes;
		ASSERT_TRUE(fl_relay_decide(
		    &relay, &members, &input, 1000, &request, &next));
		ASSERT_EQ(request.kind, (uint32_t)FL_MSG_SNAP_GET);
		snap.start = request.body.snap_get.start;
		SnapshotStub::read(&image, snap.start, buffer, sizeof(buffer),
		    &bytes, &snap.total, &snap.position);
		snap.bytes = (uint32_t)bytes;
		snap.data = buffer;
		ASSERT_EQ(fl_relay_snap(&relay, 2, &snap, &hooks), CW_OK);
		if (part == 1) {
			image.bytes.assign(200000, 'b');
			image.position = 8;
		}
	}
	EXPECT_EQ(image.installed, std::string(200000, 'b'));
	fl_relay_free(&relay);
}

// The outcome of fl_result_get.
struct ResultCapture {
	int calls = 0;
	int status = 0;
	std::string data;
	static void
	store(void *ctx, int status, uint32_t, const void *data, size_t bytes)
	{
		ResultCapture *capture = static_cast<ResultCapture *>(ctx);
		capture->calls++;
		capture->status = status;
		capture->data.assign(static_cast<const char *>(data), bytes);
	}
};

int
serve_result(void *, uint64_t request_id, uint32_t *status, void *buffer,
    size_t bytes_max, size_t *bytes)
{
	*status = 200;
	*bytes = request_id;
	if (request_id == 0)
		return FL_ENOTFOUND;
	if (request_id > bytes_max)
		return FL_ETOOLARGE;
	memset(buffer, 'r', *bytes);
	return CW_OK;
}

// Guards against an answer that is truncated, wrong, or never arrives.
TEST(FleetRelay, ResultIsCompleteOrAnError)
{
	const struct {
		uint64_t request;
		uint32_t loss;
		int status;
	} cases[] = {{64 * 1024, 0, CW_OK}, {0, 0, FL_ENOTFOUND},
	    {64 * 1024 + 1, 0, FL_ETOOLARGE}, {5, 100, FL_ETIMEOUT}};
	for (const auto &c : cases) {
		struct sim *sim = sim_create(3, 7);
		sim->result = serve_result;
		sim_kill(sim, 1);
		sim_start(sim, 1);
		sim_run(sim, 5000);
		sim->loss_percent = c.loss;
		ResultCapture capture;
		struct fl_result_done done = {ResultCapture::store, &capture};
		ASSERT_EQ(
		    fl_result_get(sim->vms[0].fleet, sim->vms[1].incarnation,
			c.request, &done, sim->now_ms),
		    CW_OK);
		sim_run(sim, 4000);
		EXPECT_EQ(capture.calls, 1);
		EXPECT_EQ(capture.status, c.status);
		EXPECT_EQ(capture.data,
		    std::string(c.status == CW_OK ? c.request : 0, 'r'));
		sim_destroy(sim);
	}
}

} // namespace
