/* Latency and throughput of the request path (HTTP server, proxy, HTTP client)
 * over loopback, with upstreams in the same process. Figures that are compared
 * with each other are measured in the same run. */
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
#define SERVER_THREADS 4 /* serving one client each */

static const char ANSWER[] =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 32\r\n\r\n{\"price\":42,\"currency\":\"NPR\",  }";
static const char BODY[] = "{\"fabric\":\"linen\",\"metres\":12.5}";

/* A client of measure_load. */
struct load_client {
	uint16_t port;
	const char *request;
	int64_t until_us;
	uint64_t done;
	uint64_t failed;
};

static uint16_t ports[RUNNERS];

/* Returns the length of the message at the start of a buffer, of which the body
 * may be incomplete, or 0 if its headers are. */
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
accept_connections(void *arg)
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
	pthread_create(&thread, NULL, accept_connections, (void *)(intptr_t)fd);
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

/* Sends one request and reads the answer. Returns the latency in us, or -1 on
 * an error or a status other than 200. */
static int64_t
round_trip(int fd, const char *request)
{
	int64_t start_us = cw_clock_mono_us();
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
	return cw_clock_mono_us() - start_us;
}

static void *
run_client(void *arg)
{
	struct load_client *client = arg;
	int fd = connect_to(client->port);

	while (cw_clock_mono_us() < client->until_us) {
		if (round_trip(fd, client->request) >= 0)
			client->done++;
		else
			client->failed++;
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

/* Runs a closed loop of clients. Returns the requests per second and sets cpu
 * to the CPU time of this process per request, in us. */
static double
measure_load(uint16_t port, const char *request, int clients, double *cpu)
{
	struct load_client load_clients[16] = {0};
	pthread_t threads[16];
	double before = cpu_us();
	uint64_t done = 0;
	int i;

	for (i = 0; i < clients; i++) {
		load_clients[i].port = port;
		load_clients[i].request = request;
		load_clients[i].until_us = cw_clock_mono_us() + LOAD_MS * 1000;
		pthread_create(&threads[i], NULL, run_client, &load_clients[i]);
	}
	for (i = 0; i < clients; i++) {
		pthread_join(threads[i], NULL);
		done += load_clients[i].done;
		if (load_clients[i].failed > 0)
			printf("failed=%llu\n",
			    (unsigned long long)load_clients[i].failed);
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

/* Prints the latency that the proxy adds: medians over the batches of the
 * difference between proxied and direct requests. */
static void
measure_added_latency(uint16_t port, const char *direct, const char *proxied)
{
	static struct hist direct_us;
	static struct hist proxied_us;
	double p50[BATCHES];
	double p99[BATCHES];
	int fds[2] = {connect_to(ports[0]), connect_to(port)};
	int batch;
	int i;

	for (i = 0; i < BATCH_REQUESTS; i++) {
		round_trip(fds[0], direct);
		round_trip(fds[1], proxied);
	}
	for (batch = 0; batch < BATCHES; batch++) {
		memset(&direct_us, 0, sizeof(direct_us));
		memset(&proxied_us, 0, sizeof(proxied_us));
		for (i = 0; i < BATCH_REQUESTS; i++) {
			hist_record(
			    &direct_us, (uint64_t)round_trip(fds[0], direct));
			hist_record(
			    &proxied_us, (uint64_t)round_trip(fds[1], proxied));
		}
		p50[batch] = (double)hist_quantile(&proxied_us, 0.5) -
		    (double)hist_quantile(&direct_us, 0.5);
		p99[batch] = (double)hist_quantile(&proxied_us, 0.99) -
		    (double)hist_quantile(&direct_us, 0.99);
	}
	printf("direct_p50_us=%llu\n",
	    (unsigned long long)hist_quantile(&direct_us, 0.5));
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
	char proxied[512];
	double rates[LOAD_ROUNDS];
	double cpus[LOAD_ROUNDS];
	double cpu_direct;
	double cpu_proxied;
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
	http_route.prefix = FR_PROXY_SERVICES_PATH;
	http_route.body_bytes_max = 65536;
	http_route.handle = fr_proxy_handle_post;
	http_route.ctx = proxy;
	lk_http_server_config_default(&server_config);
	server_config.address = "127.0.0.1:0";
	/* One more, as the server reserves a thread that holds no idle
	 * connection. */
	server_config.threads = SERVER_THREADS + 1;
	server_config.routes = &http_route;
	server_config.route_count = 1;
	if (lk_http_server_start(&server, &server_config) != CW_OK)
		return 1;
	snprintf(direct, sizeof(direct),
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    sizeof(BODY) - 1, BODY);
	snprintf(proxied, sizeof(proxied),
	    "POST /v1/services/bench HTTP/1.1\r\nHost: a\r\n"
	    "Content-Type: application/json\r\nX-Account: bench\r\n"
	    "X-Account-Key: secret\r\nContent-Length: %zu\r\n\r\n%s",
	    sizeof(BODY) - 1, BODY);
	measure_added_latency(lk_http_server_port(server), direct, proxied);
	for (i = 0; i < LOAD_ROUNDS; i++) {
		measure_load(ports[0], direct, SERVER_THREADS, &cpu_direct);
		rates[i] = measure_load(lk_http_server_port(server), proxied,
		    SERVER_THREADS, &cpu_proxied);
		cpus[i] = cpu_proxied - cpu_direct;
	}
	printf("requests_per_s=%.0f\n", median(rates, LOAD_ROUNDS));
	printf("cpu_us_per_request=%.1f\n", median(cpus, LOAD_ROUNDS));
	for (i = 0; i < LOAD_ROUNDS; i++)
		rates[i] = measure_load(
		    lk_http_server_port(server), proxied, 1, &cpu_proxied);
	printf("requests_per_s_1_thread=%.0f\n", median(rates, LOAD_ROUNDS));
	lk_http_server_stop(server);
	fr_proxy_destroy(proxy);
	lk_http_client_destroy(client);
	bench_vm_destroy(&vm);
	return 0;
}
