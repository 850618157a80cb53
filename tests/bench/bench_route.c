/* Benchmarks the router in one process: cost of a pick, load balancing policies
 * compared in simulated time, overload, failing upstreams, and repeated
 * idempotency keys. Upstreams are callbacks that sleep or fail by a seeded
 * random number. */
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#include "bench_route.h"
#include "proxy.h"

/* Seeds and sizes are fixed, so that runs can be compared. */
#define SIM_UPSTREAMS 50
#define SIM_REQUESTS 200000
#define SIM_SLOTS 8
/* With the random policy the slow upstreams have a load of 0.9, so that no
 * queue diverges. */
#define SIM_LOAD 0.6
#define SIM_SLOW 1.5 /* factor of the slow upstreams' service time */
#define PICK_ROUNDS 200000
#define SERVICE_US 10000
#define OVERLOAD_UPSTREAMS 4
#define OVERLOAD_SLOTS 2
#define OVERLOAD_MS 3000
#define OVERLOAD_DEADLINE_MS 100
#define OVERLOAD_THREADS 200
#define FAIL_UPSTREAMS 10
#define FAIL_REQUESTS 20000
#define KEYS 2000

enum policy {
	POLICY_ROUTER,
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_COUNT,
};

struct sim_upstream {
	int64_t slot_free_us[SIM_SLOTS];
	double mean_us;
};

struct sim_completion {
	int64_t at_us;
	int64_t arrived_us;
	struct rt_pick pick;
};

static struct sim_completion sim_completions[SIM_REQUESTS];
static size_t sim_completion_count;
static uint32_t sim_refused;

static void
sim_push(const struct sim_completion *end)
{
	size_t i = sim_completion_count++;

	while (i > 0 && sim_completions[(i - 1) / 2].at_us > end->at_us) {
		sim_completions[i] = sim_completions[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim_completions[i] = *end;
}

static struct sim_completion
sim_pop(void)
{
	struct sim_completion first = sim_completions[0];
	struct sim_completion last = sim_completions[--sim_completion_count];
	size_t i = 0;

	while (2 * i + 1 < sim_completion_count) {
		size_t k = 2 * i + 1;

		if (k + 1 < sim_completion_count &&
		    sim_completions[k + 1].at_us < sim_completions[k].at_us)
			k++;
		if (sim_completions[k].at_us >= last.at_us)
			break;
		sim_completions[i] = sim_completions[k];
		i = k;
	}
	sim_completions[i] = last;
	return first;
}

/* Simulates one policy with one upstream in ten slower. Returns the p99 of the
 * completion time (us). */
static uint64_t
simulate(enum policy policy)
{
	static struct hist times;
	struct sim_upstream upstreams[SIM_UPSTREAMS] = {0};
	struct rt_admission admission = {0};
	struct rt_pick_query query = {&admission, NULL, 0};
	struct bench_vm vm;
	struct cw_rng rng;
	double interval_us =
	    SERVICE_US / (SIM_LOAD * SIM_UPSTREAMS * SIM_SLOTS);
	double now_us = 1e9;
	uint32_t next_upstream = 0;
	int i;

	memset(&times, 0, sizeof(times));
	bench_vm_create(&vm, 77, "");
	cw_rng_seed(&rng, 1);
	rt_rng_seed(1);
	for (i = 0; i < SIM_UPSTREAMS; i++) {
		char address[32];

		snprintf(address, sizeof(address), "10.0.0.%d:1", i);
		bench_upstream_add(&vm, address, SIM_SLOTS);
		upstreams[i].mean_us =
		    SERVICE_US * (i % 10 == 0 ? SIM_SLOW : 1);
	}
	bench_vm_step(&vm, 1000000);
	admission.service = vm.service;
	admission.idempotent = true;
	for (i = 0; i < SIM_REQUESTS; i++) {
		struct sim_completion end = {0};
		struct sim_upstream *upstream;
		uint32_t index;
		int slot = 0;
		int k;

		now_us -= log(1 - cw_rng_unit(&rng)) * interval_us;
		while (sim_completion_count > 0 &&
		    sim_completions[0].at_us <= now_us) {
			struct sim_completion done = sim_pop();
			struct rt_outcome outcome = {0};

			outcome.started_us = done.arrived_us;
			outcome.ended_us = done.at_us;
			if (policy == POLICY_ROUTER)
				rt_attempt_done(vm.route, &done.pick, &outcome);
		}
		index = policy == POLICY_RANDOM
		    ? cw_rng_below(&rng, SIM_UPSTREAMS)
		    : next_upstream++ % SIM_UPSTREAMS;
		if (policy == POLICY_ROUTER) {
			if (rt_repick(vm.route, &query, (int64_t)now_us,
				&end.pick) != CW_OK) {
				sim_refused++;
				continue;
			}
			index = end.pick.upstream_handle.index;
		}
		upstream = &upstreams[index];
		for (k = 1; k < SIM_SLOTS; k++)
			if (upstream->slot_free_us[k] <
			    upstream->slot_free_us[slot])
				slot = k;
		end.arrived_us = (int64_t)now_us;
		end.at_us = upstream->slot_free_us[slot] > end.arrived_us
		    ? upstream->slot_free_us[slot]
		    : end.arrived_us;
		end.at_us +=
		    (int64_t)(-log(1 - cw_rng_unit(&rng)) * upstream->mean_us);
		upstream->slot_free_us[slot] = end.at_us;
		hist_record(&times, (uint64_t)(end.at_us - end.arrived_us));
		sim_push(&end);
	}
	sim_completion_count = 0;
	bench_vm_destroy(&vm);
	return hist_quantile(&times, 0.99);
}

static void
measure_policies(void)
{
	double p99[POLICY_COUNT];
	int i;

	for (i = 0; i < POLICY_COUNT; i++)
		p99[i] = (double)simulate(i);
	printf("policy_refused=%u\n", sim_refused);
	printf("policy_p99_us=%.0f\n", p99[POLICY_ROUTER]);
	printf("policy_p99_vs_random=%.3f\n",
	    p99[POLICY_ROUTER] / p99[POLICY_RANDOM]);
	printf("policy_p99_vs_round_robin=%.3f\n",
	    p99[POLICY_ROUTER] / p99[POLICY_ROUND_ROBIN]);
}

static void *
run_picks(void *arg)
{
	struct bench_vm *vm = arg;
	struct rt_admission admission = {0};
	struct rt_pick_query query = {&admission, NULL, 0};
	struct rt_outcome outcome = {0};
	struct rt_pick pick;
	int i;

	admission.service = vm->service;
	admission.idempotent = true;
	outcome.ended_us = 1000;
	for (i = 0; i < PICK_ROUNDS; i++)
		if (rt_repick(vm->route, &query, 1000000000, &pick) == CW_OK)
			rt_attempt_done(vm->route, &pick, &outcome);
	return NULL;
}

/* Returns the time of one pick and its release (ns) with count threads. */
static double
measure_picks(int count)
{
	struct bench_vm vm;
	pthread_t threads[8];
	int64_t began_us;
	int i;

	bench_vm_create(&vm, 77, "");
	for (i = 0; i < SIM_UPSTREAMS; i++) {
		char address[32];

		snprintf(address, sizeof(address), "10.0.0.%d:1", i);
		bench_upstream_add(&vm, address, SIM_SLOTS);
	}
	bench_vm_step(&vm, 1000000);
	began_us = cw_clock_mono_us();
	for (i = 0; i < count; i++)
		pthread_create(&threads[i], NULL, run_picks, &vm);
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	began_us = cw_clock_mono_us() - began_us;
	bench_vm_destroy(&vm);
	return (double)began_us * 1000 / PICK_ROUNDS;
}

/* An upstream that sleeps for its service time. */
static int
call_sleeping(
    void *ctx, const struct lk_http_call *call, struct lk_http_answer *answer)
{
	struct timespec time = {0, SERVICE_US * 1000};

	(void)ctx;
	(void)call;
	nanosleep(&time, NULL);
	memset(answer, 0, sizeof(*answer));
	answer->outcome = LK_HTTP_COMPLETE;
	answer->status = 200;
	answer->retry_after_ms = -1;
	return CW_OK;
}

struct arrivals {
	struct bench_vm *vm;
	struct fr_proxy *proxy;
	double interval_us; /* of this thread */
	int64_t until_us;
	uint64_t seed;
	atomic_uint *good;
	struct hist *urgent;
};

static void *
run_arrivals(void *arg)
{
	struct arrivals *arrivals = arg;
	struct cw_rng rng;
	double due_us = (double)cw_clock_mono_us();

	cw_rng_seed(&rng, arrivals->seed);
	while (true) {
		struct fr_proxy_request request = {0};
		struct fr_proxy_answer answer;
		int64_t began_us;
		int64_t now_us;
		bool urgent = cw_rng_below(&rng, 20) == 0;

		due_us -= log(1 - cw_rng_unit(&rng)) * arrivals->interval_us;
		if (due_us >= (double)arrivals->until_us)
			return NULL;
		now_us = cw_clock_mono_us();
		if (due_us > (double)now_us) {
			int64_t wait_us = (int64_t)due_us - now_us;
			struct timespec time = {
			    wait_us / 1000000, wait_us % 1000000 * 1000};

			nanosleep(&time, NULL);
		}
		request.account = arrivals->vm->account;
		request.service = "bench";
		request.class_name = urgent ? "urgent" : "normal";
		request.deadline_ms = OVERLOAD_DEADLINE_MS;
		began_us = cw_clock_mono_us();
		fr_proxy_run(arrivals->proxy, &request, &answer);
		now_us = cw_clock_mono_us();
		free(answer.body);
		if (answer.status == 200 &&
		    now_us - began_us <= OVERLOAD_DEADLINE_MS * 1000)
			atomic_fetch_add(arrivals->good, 1);
		if (urgent)
			hist_record(
			    arrivals->urgent, (uint64_t)(now_us - began_us));
	}
}

/* Offers a multiple of the capacity. Returns the goodput (answers within their
 * deadline per second) and the p99 of urgent requests. */
static double
measure_load(double multiple, uint64_t *urgent_p99_us)
{
	static struct hist urgent;
	struct arrivals arrivals[OVERLOAD_THREADS];
	pthread_t threads[OVERLOAD_THREADS];
	struct fr_proxy_config config = {0};
	struct fr_proxy *proxy;
	struct bench_vm vm;
	atomic_uint good = 0;
	double per_s =
	    multiple * OVERLOAD_UPSTREAMS * OVERLOAD_SLOTS * 1e6 / SERVICE_US;
	int64_t until_us;
	int i;

	memset(&urgent, 0, sizeof(urgent));
	bench_vm_create(&vm, 77, "");
	for (i = 0; i < OVERLOAD_UPSTREAMS; i++) {
		char address[32];

		snprintf(address, sizeof(address), "10.0.0.%d:1", i);
		bench_upstream_add(&vm, address, OVERLOAD_SLOTS);
	}
	bench_vm_step(&vm, cw_clock_mono_ms());
	config.board = vm.board;
	config.route = vm.route;
	config.upstream.call = call_sleeping;
	config.self = vm.self;
	fr_proxy_create(&proxy, &config);
	until_us = cw_clock_mono_us() + OVERLOAD_MS * 1000;
	for (i = 0; i < OVERLOAD_THREADS; i++) {
		arrivals[i] = (struct arrivals){&vm, proxy,
		    OVERLOAD_THREADS * 1e6 / per_s, until_us, (uint64_t)i + 1,
		    &good, &urgent};
		pthread_create(&threads[i], NULL, run_arrivals, &arrivals[i]);
	}
	for (i = 0; i < OVERLOAD_THREADS; i++)
		pthread_join(threads[i], NULL);
	*urgent_p99_us = hist_quantile(&urgent, 0.99);
	fr_proxy_destroy(proxy);
	bench_vm_destroy(&vm);
	return atomic_load(&good) * 1000.0 / OVERLOAD_MS;
}

static void
measure_overload(void)
{
	double goodput[4];
	uint64_t urgent[4];
	double peak = 0;
	int i;

	measure_load(0.2, &urgent[0]);
	for (i = 1; i <= 3; i++) {
		goodput[i] = measure_load(i, &urgent[i]);
		printf("goodput_%dx_per_s=%.0f\n", i, goodput[i]);
		if (goodput[i] > peak)
			peak = goodput[i];
	}
	printf("goodput_ratio_3x=%.3f\n", goodput[3] / peak);
	printf("urgent_p99_unloaded_us=%llu\n", (unsigned long long)urgent[0]);
	printf("urgent_p99_ratio_3x=%.2f\n",
	    (double)urgent[3] / (double)urgent[0]);
}

/* Three of ten upstreams lose every request. */
static int
call_failing(
    void *ctx, const struct lk_http_call *call, struct lk_http_answer *answer)
{
	(void)ctx;
	memset(answer, 0, sizeof(*answer));
	answer->retry_after_ms = -1;
	answer->outcome = call->pool < 3 ? LK_HTTP_LOST : LK_HTTP_COMPLETE;
	answer->status = 200;
	return CW_OK;
}

struct failing {
	struct bench_vm *vm;
	struct fr_proxy *proxy;
	atomic_uint *good;
};

static void *
run_failing(void *arg)
{
	struct failing *failing = arg;
	int i;

	for (i = 0; i < FAIL_REQUESTS / 4; i++) {
		struct fr_proxy_request request = {0};
		struct fr_proxy_answer answer;

		request.account = failing->vm->account;
		request.service = "bench";
		fr_proxy_run(failing->proxy, &request, &answer);
		free(answer.body);
		if (answer.status == 200)
			atomic_fetch_add(failing->good, 1);
	}
	return NULL;
}

static void
measure_amplification(void)
{
	struct fr_proxy_config config = {0};
	struct fr_proxy *proxy;
	struct bench_vm vm;
	atomic_uint good = 0;
	struct failing failing = {&vm, NULL, &good};
	pthread_t threads[4];
	int i;

	bench_vm_create(&vm, 77, "");
	for (i = 0; i < FAIL_UPSTREAMS; i++) {
		char address[32];

		snprintf(address, sizeof(address), "10.0.0.%d:1", i);
		bench_upstream_add(&vm, address, 8);
	}
	bench_vm_step(&vm, cw_clock_mono_ms());
	config.board = vm.board;
	config.route = vm.route;
	config.upstream.call = call_failing;
	config.self = vm.self;
	fr_proxy_create(&proxy, &config);
	failing.proxy = proxy;
	for (i = 0; i < 4; i++)
		pthread_create(&threads[i], NULL, run_failing, &failing);
	/* The health controller does not run: the worst case for the budget. */
	for (i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	printf("amplification=%.4f\n",
	    (double)rt_counter_read(vm.route, RT_COUNT_ATTEMPTS) /
		(double)rt_counter_read(vm.route, RT_COUNT_REQUESTS));
	printf("failing_good_ratio=%.3f\n",
	    (double)atomic_load(&good) / FAIL_REQUESTS);
	fr_proxy_destroy(proxy);
	bench_vm_destroy(&vm);
}

/* Two VMs that share one log, and the runs per key that the upstream has
 * counted. */
static struct {
	struct bench_vm vms[2];
	struct fr_proxy *proxies[2];
	pthread_mutex_t lock;
	uint64_t position;
	struct cw_rng rng;
	atomic_uint runs[KEYS];
	atomic_uint doubled, lost;
} pair;

static int
propose(void *ctx, const struct rec *rec, const struct st_completion *done)
{
	const struct bench_vm *vm = ctx;
	struct rec copy = *rec;
	int code = CW_OK;
	int i;

	pthread_mutex_lock(&pair.lock);
	pair.position++;
	copy.writer = vm->self;
	copy.sequence = pair.position;
	copy.time_ms = 1000;
	for (i = 0; i < 2; i++) {
		int status = st_apply(pair.vms[i].state, &copy, pair.position);

		if (&pair.vms[i] == vm)
			code = status;
	}
	pthread_mutex_unlock(&pair.lock);
	if (done != NULL)
		done->call(done->ctx, code, pair.position);
	return CW_OK;
}

/* Fails before, during or after the run, or answers with the key. */
static int
call_counting(
    void *ctx, const struct lk_http_call *call, struct lk_http_answer *answer)
{
	static const enum lk_http_outcome outcomes[10] = {LK_HTTP_NOT_STARTED,
	    LK_HTTP_LOST, LK_HTTP_TRUNCATED, LK_HTTP_TIMEOUT};
	uint32_t key = (uint32_t)strtoul(call->body, NULL, 10);
	uint32_t failure;

	(void)ctx;
	pthread_mutex_lock(&pair.lock);
	failure = cw_rng_below(&pair.rng, 10);
	pthread_mutex_unlock(&pair.lock);
	memset(answer, 0, sizeof(*answer));
	answer->retry_after_ms = -1;
	answer->outcome = failure < 4 ? outcomes[failure] : LK_HTTP_COMPLETE;
	if (answer->outcome == LK_HTTP_NOT_STARTED)
		return CW_OK;
	if (atomic_fetch_add(&pair.runs[key], 1) > 0)
		atomic_fetch_add(&pair.doubled, 1);
	if (answer->outcome == LK_HTTP_COMPLETE) {
		answer->status = 200;
		answer->body = strdup(call->body);
		answer->body_bytes = strlen(call->body) + 1;
	}
	return CW_OK;
}

/* Sends each key and repeats it while the answer says "not run". A request
 * counts as lost if it gets the answer of another key, if the upstream did not
 * count exactly one run, or if it is never run. */
static void *
run_keys(void *arg)
{
	size_t vm_index = (size_t)(uintptr_t)arg % 2;
	uint32_t key;

	for (key = 0; key < KEYS; key++) {
		struct fr_proxy_request request = {0};
		struct fr_proxy_answer answer;
		char text[16];
		int attempts;

		snprintf(text, sizeof(text), "%u", key);
		request.account = pair.vms[vm_index].account;
		request.service = "bench";
		request.key = text;
		request.body = text;
		request.body_bytes = strlen(text) + 1;
		for (attempts = 0; attempts < 100; attempts++) {
			fr_proxy_run(pair.proxies[vm_index], &request, &answer);
			if (answer.status == 200 &&
			    (atomic_load(&pair.runs[key]) != 1 ||
				strcmp(answer.body, text) != 0))
				atomic_fetch_add(&pair.lost, 1);
			free(answer.body);
			if (answer.ran != RT_RAN_NOT)
				break;
		}
		if (answer.ran == RT_RAN_NOT)
			atomic_fetch_add(&pair.lost, 1);
	}
	return NULL;
}

static void
measure_at_most_once(void)
{
	pthread_t threads[4];
	int i;

	pthread_mutex_init(&pair.lock, NULL);
	cw_rng_seed(&pair.rng, 1);
	for (i = 0; i < 2; i++) {
		struct fr_proxy_config config = {0};
		struct bench_vm *vm = &pair.vms[i];

		bench_vm_create(vm, (uint64_t)i + 1, "");
		bench_upstream_add(vm, "10.0.0.1:1", 8);
		bench_vm_step(vm, cw_clock_mono_ms());
		config.board = vm->board;
		config.route = vm->route;
		config.upstream.call = call_counting;
		config.sink.propose = propose;
		config.sink.ctx = vm;
		config.self = vm->self;
		fr_proxy_create(&pair.proxies[i], &config);
	}
	for (i = 0; i < 4; i++)
		pthread_create(
		    &threads[i], NULL, run_keys, (void *)(uintptr_t)i);
	for (i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	printf("doubled_requests=%u\n", atomic_load(&pair.doubled));
	printf("lost_requests=%u\n", atomic_load(&pair.lost));
	for (i = 0; i < 2; i++) {
		fr_proxy_destroy(pair.proxies[i]);
		bench_vm_destroy(&pair.vms[i]);
	}
}

int
main(int argc, char **argv)
{
	double ns[3] = {measure_picks(1), measure_picks(4), measure_picks(8)};

	printf("route_ns=%.0f\n", ns[0]);
	printf("route_ns_1_thread=%.0f\n", ns[0]);
	printf("route_ns_4_threads=%.0f\n", ns[1]);
	printf("route_ns_8_threads=%.0f\n", ns[2]);
	if (argc > 1 && strcmp(argv[1], "picks") == 0)
		return 0;
	measure_policies();
	measure_amplification();
	measure_at_most_once();
	measure_overload();
	return 0;
}
