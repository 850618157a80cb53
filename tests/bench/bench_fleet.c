#include <inttypes.h>

#include "../fleet_sim.h"

/* Nine fleets over the simulated link, sized for two years of growth: 29
 * accounts whose demand exceeds their floors, and 2 services with 50 upstreams
 * each whose loads change continuously. */
#define ACCOUNTS 29
#define ACCOUNT_LIMIT 2000
#define CONTROL_SECONDS 300
#define LOADS_CHANGED 2 /* per tick of 50 ms */
#define MOVES 60
#define LOSS_HOURS 24

/* Overhead of a message on the wire, in bytes: a CURVE message command in a
 * ZMTP frame, and the headers of TCP and IP. */
#define FRAME_BYTES 35
#define PACKET_BYTES 52

/* Each load is a random walk between 0 and the 8 slots of an upstream; each VM
 * has 40 steps per second. */
static void
change_loads(struct sim *sim, void *ctx)
{
	uint32_t i;
	uint32_t j;

	(void)ctx;
	for (i = 0; i < sim->vm_count; i++)
		for (j = 0; j < LOADS_CHANGED; j++) {
			uint32_t index = cw_rng_below(&sim->rng, SIM_UPSTREAMS);
			uint32_t *load = &sim->vms[i].loads[index];

			if (cw_rng_below(&sim->rng, 2) == 0)
				*load += *load < 8;
			else
				*load -= *load > 0;
		}
}

static void
set_demands(struct sim *sim)
{
	uint32_t i;

	sim_put_accounts(sim, ACCOUNTS, ACCOUNT_LIMIT);
	for (i = 0; i < sim->vm_count; i++) {
		sim->vms[i].demand = ACCOUNT_LIMIT / 2;
		sim->vms[i].demand_swing = 25;
	}
}

/* Measures control traffic and processor time of the daemons, including
 * receiving; the busiest daemon is the holder of BD_DUTY_LIMITS. */
static void
measure_control(void)
{
	static struct fl_traffic_counters before[SIM_VMS_MAX];
	struct sim *sim = sim_create(SIM_VMS_MAX, 1);
	uint64_t kinds[FL_MSG_KIND_LIMIT] = {0};
	uint64_t wire[SIM_VMS_MAX] = {0};
	uint64_t messages = 0;
	uint64_t bytes = 0;
	uint64_t max_wire = 0;
	double error = 0;
	int64_t us;
	uint32_t i;
	uint32_t kind;

	sim->latency_ms = 1;
	sim->each_tick = change_loads;
	set_demands(sim);
	sim_run(sim, 30000);
	for (i = 0; i < SIM_VMS_MAX; i++)
		fl_traffic_read(sim->vms[i].fleet, &before[i]);
	us = cw_clock_mono_us();
	for (i = 0; i < CONTROL_SECONDS; i++) {
		sim_run(sim, 1000);
		error += sim_load_error(sim);
	}
	us = cw_clock_mono_us() - us;
	for (i = 0; i < SIM_VMS_MAX; i++) {
		struct fl_traffic_counters after;

		fl_traffic_read(sim->vms[i].fleet, &after);
		for (kind = 0; kind < FL_MSG_KIND_LIMIT; kind++) {
			uint64_t count = after.sent_messages[kind] -
			    before[i].sent_messages[kind];
			uint64_t sent =
			    after.sent_bytes[kind] - before[i].sent_bytes[kind];

			kinds[kind] += sent;
			bytes += sent;
			messages += count;
			wire[i] += sent + count * (FRAME_BYTES + PACKET_BYTES);
		}
		max_wire = wire[i] > max_wire ? wire[i] : max_wire;
	}
	for (kind = 1; kind < FL_MSG_KIND_LIMIT; kind++)
		if (kinds[kind] != 0)
			printf("control_bytes_per_s_%s=%.1f\n",
			    fl_msg_kind_name(kind),
			    (double)kinds[kind] / SIM_VMS_MAX /
				CONTROL_SECONDS);
	printf("control_bytes_per_s=%.1f\n",
	    (double)bytes / SIM_VMS_MAX / CONTROL_SECONDS);
	printf("control_messages_per_s=%.2f\n",
	    (double)messages / SIM_VMS_MAX / CONTROL_SECONDS);
	printf("control_wire_bytes_per_s=%.1f\n",
	    (double)(bytes + messages * (FRAME_BYTES + PACKET_BYTES)) /
		SIM_VMS_MAX / CONTROL_SECONDS);
	printf("control_wire_bytes_per_s_busiest=%.1f\n",
	    (double)max_wire / CONTROL_SECONDS);
	printf("load_error_slots=%.2f\n", error / CONTROL_SECONDS);
	printf("control_cpu_us_per_s=%.1f\n",
	    (double)us / SIM_VMS_MAX / CONTROL_SECONDS);
	sim_destroy(sim);
}

static int
compare_int64(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

/* Measures the time from the failure of the holder of BD_DUTY_PLACEMENT until
 * every other VM has another holder in its state, at 30 ms latency and 5% loss.
 */
static void
measure_duty_moves(void)
{
	int64_t times[MOVES];
	uint32_t move;
	struct sim *sim = sim_create(SIM_VMS_MAX, 2);

	sim->latency_ms = 30;
	sim->jitter_ms = 10;
	sim->loss_percent = 5;
	sim_run(sim, 30000);
	for (move = 0; move < MOVES; move++) {
		uint64_t holder = sim_holder(sim, 0, BD_DUTY_PLACEMENT);
		int64_t start_ms;
		uint32_t index = 0;
		uint32_t i;
		bool moved = false;

		while (index < SIM_VMS_MAX - 1 &&
		    sim->vms[index].incarnation != holder)
			index++;
		sim_run(sim, cw_rng_below(&sim->rng, 800));
		start_ms = sim->now_ms;
		sim_kill(sim, index);
		while (!moved) {
			sim_run(sim, 10);
			moved = true;
			for (i = 0; i < SIM_VMS_MAX; i++)
				moved &= i == index ||
				    sim_holder(sim, i, BD_DUTY_PLACEMENT) !=
					holder;
		}
		times[move] = sim->now_ms - start_ms;
		sim_start(sim, index);
		sim_run(sim, 10000);
	}
	qsort(times, MOVES, sizeof(*times), compare_int64);
	printf("duty_move_p50_ms=%" PRId64 "\n", times[MOVES / 2]);
	printf("duty_move_p99_ms=%" PRId64 "\n", times[MOVES * 99 / 100]);
	sim_destroy(sim);
}

static void
measure_false_suspicions(void)
{
	struct sim *sim = sim_create(SIM_VMS_MAX, 3);
	uint64_t before;

	sim->latency_ms = 30;
	sim->jitter_ms = 30;
	sim->loss_percent = 5;
	sim_run(sim, 10000);
	before = ev_count(EV_MEMBER_SUSPECT);
	sim_run(sim, (int64_t)LOSS_HOURS * 3600 * 1000);
	printf("suspicion_wrong_per_day=%.2f\n",
	    (double)(ev_count(EV_MEMBER_SUSPECT) - before) * 24 / LOSS_HOURS);
	sim_destroy(sim);
}

/* Measures encoding and decoding of one message; the median of 9 rounds. */
static void
measure_codec(const char *name, const struct fl_msg *msg)
{
	static unsigned char frame[FL_MSG_BYTES_MAX];
	static struct fl_msg out;
	int64_t encode[9];
	int64_t decode[9];
	size_t bytes = 0;
	int round;
	int i;

	for (round = 0; round < 9; round++) {
		int64_t us = cw_clock_mono_us();

		for (i = 0; i < 20000; i++)
			fl_msg_encode(msg, frame, sizeof(frame), &bytes);
		encode[round] = cw_clock_mono_us() - us;
		us = cw_clock_mono_us();
		for (i = 0; i < 20000; i++)
			fl_msg_decode(frame, bytes, &out);
		decode[round] = cw_clock_mono_us() - us;
	}
	qsort(encode, 9, sizeof(*encode), compare_int64);
	qsort(decode, 9, sizeof(*decode), compare_int64);
	printf("codec_%s_bytes=%zu\n", name, bytes);
	printf("codec_%s_encode_ns=%.0f\n", name, (double)encode[4] / 20);
	printf("codec_%s_decode_ns=%.0f\n", name, (double)decode[4] / 20);
}

int
main(void)
{
	static struct fl_msg heartbeat;
	static struct fl_msg request;
	uint32_t i;

	heartbeat.kind = FL_MSG_HEARTBEAT;
	heartbeat.sender = cw_id_from_name("sender");
	heartbeat.body.heartbeat.position = (uint64_t)5000000 << 12;
	heartbeat.body.heartbeat.digest = cw_id_from_name("digest");
	heartbeat.body.heartbeat.config_version = 200000;
	heartbeat.body.heartbeat.heard_count = 8;
	heartbeat.body.heartbeat.load_count = 24;
	for (i = 0; i < 24; i++) {
		uint32_t name = fl_short_id(cw_id_from_pair(1, i));

		if (i < 8)
			heartbeat.body.heartbeat.heard[i] = name;
		heartbeat.body.heartbeat.loads[i].upstream = name;
		heartbeat.body.heartbeat.loads[i].in_flight = i % 9;
	}
	request.kind = FL_MSG_SHARE_ASK;
	request.sender = heartbeat.sender;
	request.body.share.sequence = 1000;
	request.body.share.count = ACCOUNTS;
	for (i = 0; i < ACCOUNTS; i++) {
		request.body.share.entries[i].account =
		    fl_account_short_id(cw_id_from_pair(2, i));
		request.body.share.entries[i].rate_per_s = 200 + i;
		request.body.share.entries[i].concurrency = 20 + i;
	}
	measure_codec("heartbeat", &heartbeat);
	measure_codec("share_ask", &request);
	measure_control();
	measure_duty_moves();
	measure_false_suspicions();
	return 0;
}
