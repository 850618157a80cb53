/* Latency and throughput of the daemon's path (HTTP server, proxy, HTTP
 * client) over loopback against a stand-in upstream in the same process. Each
 * pair of figures that is compared comes from the same run. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench_route.h"
#include "proxy.h"

#define BATCHES 10
#define BATCH_REQUESTS 500
#define LOAD_MS 1500
#define LOAD_ROUNDS 3
#define RUNNERS 8
#define SERVER_THREADS 4 /* that serve a client each */

static const char ANSWER[] =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 32\r\n\r\n{\"price\":42,\"currency\":\"NPR\",  }";
static const char BODY[] = "{\"fabric\":\"linen\",\"metres\":12.5}";

struct load {
	uint16_t port;
	const char *request;
	int64_t until_us;
	uint64_t done;
	uint64_t failed;
};

static uint16_t ports[RUNNERS];

/* Returns the length of the whole message at the start of a buffer, or 0. */
static size_t
message_bytes(const char *data, size_t bytes)
{
	const char *end = memmem(data, bytes, "\r\n\r\n", 4);
	const char *length;

	if (end == NULL)
		return 0;
	length = memmem(data, (size_t)(end - data), "Content-Length: ", 16);
	return (size_t)(end - data) + 4 +
	    (length == NULL ? 0 : strtoul(length + 16, NULL, 10));
}

static void *
serve_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char data[8192];
	size_t used = 0;
	ssize_t n;

	while ((n = recv(fd, data + used, sizeof(data) - used, 0)) > 0) {
		size_t bytes;

		used += (size_t)n;
		bytes = message_bytes(data, used);
		if (bytes == 0 || bytes > used)
			continue;
		used -= bytes;
		memmove(data, data + bytes, used);
		send(fd, ANSWER, sizeof(ANSWER) - 1, MSG_NOSIGNAL);
	}
	close(fd);
	return NULL;
}

static void *
serve_port(void *arg)
{
	int listener = (int)(intptr_t)arg;
	int one = 1;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		pthread_t thread;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_create(
		    &thread, NULL, serve_connection, (void *)(intptr_t)fd);
		pthread_detach(thread);
	}
	return NULL;
}

static uint16_t
start_upstream(void)
{
	struct sockaddr_in name = {.sin_family = AF_INET};
	socklen_t bytes = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	pthread_t thread;

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&name, bytes) != 0 ||
	    listen(fd, 128) != 0)
		exit(1);
	getsockname(fd, (struct sockaddr *)&name, &bytes);
	pthread_create(&thread, NULL, serve_port, (void *)(intptr_t)fd);
	pthread_detach(thread);
	return ntohs(name.sin_port);
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in name = {.sin_family = AF_INET};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	name.sin_port = htons(port);
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&name, sizeof(name)) != 0)
		exit(1);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* Sends one request and reads the answer; returns the time in us, or -1. */
static int64_t
exchange(int fd, const char *request)
{
	int64_t began = cw_clock_mono_us();
	char data[4096];
	size_t used = 0;
	size_t bytes;
	ssize_t n;

	if (send(fd, request, strlen(request), MSG_NOSIGNAL) <= 0)
		return -1;
	do {
		n = recv(fd, data + used, sizeof(data) - used, 0);
		if (n <= 0)
			return -1;
		used += (size_t)n;
		bytes = message_bytes(data, used);
	} while (bytes == 0 || used < bytes);
	if (memcmp(data + 9, "200", 3) != 0)
		return -1;
	return cw_clock_mono_us() - began;
}

static void *
run_load(void *arg)
{
	struct load *load = arg;
	int fd = connect_to(load->port);

	while (cw_clock_mono_us() < load->until_us) {
		if (exchange(fd, load->request) >= 0)
			load->done++;
		else
			load->failed++;
	}
	close(fd);
	return NULL;
}

static double
cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	    (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/* Closed loop with a number of clients; returns requests a second and the
 * process's processor time for each. */
static double
measure_load(uint16_t port, const char *request, int clients, double *cpu)
{
	struct load loads[16] = {0};
	pthread_t threads[16];
	double before = cpu_us();
	uint64_t done = 0;
	int i;

	for (i = 0; i < clients; i++) {
		loads[i].port = port;
		loads[i].request = request;
		loads[i].until_us = cw_clock_mono_us() + LOAD_MS * 1000;
		pthread_create(&threads[i], NULL, run_load, &loads[i]);
	}
	for (i = 0; i < clients; i++) {
		pthread_join(threads[i], NULL);
		done += loads[i].done;
		if (loads[i].failed > 0)
			printf("failed=%llu\n",
			    (unsigned long long)loads[i].failed);
	}
	*cpu = (cpu_us() - before) / (double)done;
	return (double)done * 1000 / LOAD_MS;
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
median(double *values, int count)
{
	qsort(values, (size_t)count, sizeof(*values), compare_doubles);
	return values[count / 2];
}

static void
measure_added(uint16_t port, const char *direct, const char *via)
{
	static struct hist direct_times;
	static struct hist via_times;
	double p50[BATCHES];
	double p99[BATCHES];
	int fds[2] = {connect_to(ports[0]), connect_to(port)};
	int b;
	int i;

	for (i = 0; i < BATCH_REQUESTS; i++) {
		exchange(fds[0], direct);
		exchange(fds[1], via);
	}
	for (b = 0; b < BATCHES; b++) {
		memset(&direct_times, 0, sizeof(direct_times));
		memset(&via_times, 0, sizeof(via_times));
		for (i = 0; i < BATCH_REQUESTS; i++) {
			hist_record(
			    &direct_times, (uint64_t)exchange(fds[0], direct));
			hist_record(
			    &via_times, (uint64_t)exchange(fds[1], via));
		}
		p50[b] = (double)hist_quantile(&via_times, 0.5) -
		    (double)hist_quantile(&direct_times, 0.5);
		p99[b] = (double)hist_quantile(&via_times, 0.99) -
		    (double)hist_quantile(&direct_times, 0.99);
	}
	printf("direct_p50_us=%llu\n",
	    (unsigned long long)hist_quantile(&direct_times, 0.5));
	printf("added_p50_us=%.0f\n", median(p50, BATCHES));
	printf("added_p99_us=%.0f\n", median(p99, BATCHES));
	close(fds[0]);
	close(fds[1]);
}

int
main(void)
{
	struct lk_http_server_config server_config;
	struct lk_http_route http_route = {0};
	struct fr_proxy_config config = {0};
	struct lk_http_server *server;
	struct lk_http_client *client;
	struct fr_proxy *proxy;
	struct bench_vm vm;
	char direct[512];
	char via[512];
	double rates[LOAD_ROUNDS];
	double cpus[LOAD_ROUNDS];
	double cpu_direct;
	double cpu_via;
	int i;

	bench_vm_create(&vm, 77, "secret");
	for (i = 0; i < RUNNERS; i++) {
		char address[32];

		ports[i] = start_upstream();
		snprintf(address, sizeof(address), "127.0.0.1:%u", ports[i]);
		bench_upstream_add(&vm, address, 8);
	}
	bench_vm_step(&vm, cw_clock_mono_ms());
	lk_http_client_create(&client);
	config.board = vm.board;
	config.route = vm.route;
	config.upstream = lk_http_client_caller(client);
	config.self = vm.self;
	fr_proxy_create(&proxy, &config);
	http_route.method = "POST";
	http_route.prefix = FR_PROXY_SERVICES;
	http_route.body_bytes_max = 65536;
	http_route.handle = fr_proxy_handle_post;
	http_route.ctx = proxy;
	lk_http_server_config_default(&server_config);
	server_config.address = "127.0.0.1:0";
	/* One more, as the last one keeps no connection open. */
	server_config.threads = SERVER_THREADS + 1;
	server_config.routes = &http_route;
	server_config.route_count = 1;
	if (lk_http_server_start(&server, &server_config) != CW_OK)
		return 1;
	snprintf(direct, sizeof(direct),
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    sizeof(BODY) - 1, BODY);
	snprintf(via, sizeof(via),
	    "POST /v1/services/bench HTTP/1.1\r\nHost: a\r\n"
	    "Content-Type: application/json\r\nX-Account: bench\r\n"
	    "X-Account-Key: secret\r\nContent-Length: %zu\r\n\r\n%s",
	    sizeof(BODY) - 1, BODY);
	measure_added(lk_http_server_port(server), direct, via);
	for (i = 0; i < LOAD_ROUNDS; i++) {
		measure_load(ports[0], direct, SERVER_THREADS, &cpu_direct);
		rates[i] = measure_load(
		    lk_http_server_port(server), via, SERVER_THREADS, &cpu_via);
		cpus[i] = cpu_via - cpu_direct;
	}
	printf("requests_per_s=%.0f\n", median(rates, LOAD_ROUNDS));
	printf("cpu_us_per_request=%.1f\n", median(cpus, LOAD_ROUNDS));
	for (i = 0; i < LOAD_ROUNDS; i++)
		rates[i] =
		    measure_load(lk_http_server_port(server), via, 1, &cpu_via);
	printf("requests_per_s_1_thread=%.0f\n", median(rates, LOAD_ROUNDS));
	lk_http_server_stop(server);
	fr_proxy_destroy(proxy);
	lk_http_client_destroy(client);
	bench_vm_destroy(&vm);
	return 0;
}
