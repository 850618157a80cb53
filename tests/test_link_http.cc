#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include "fake_upstream.h"
#include "http_client.h"
#include "http_server.h"

namespace {

void
echo(void *ctx, const struct lk_http_request *request,
    struct lk_http_response *response)
{
	const char *name = lk_http_request_header(request, "x-name");

	lk_http_response_header_add(
	    response, "X-Seen", name == nullptr ? "none" : name);
	lk_http_response_header_add(response, "X-Bad", "a\r\nSet-Cookie: b");
	lk_http_response_copy(response, *static_cast<int *>(ctx), request->body,
	    request->body_bytes);
}

struct ServerFixture {
	ServerFixture()
	{
		struct lk_http_route routes[] = {
		    {"POST", "/echo", 64, echo, &status},
		    {"POST", "/echo/deep", 64, echo, &deep_status},
		};
		struct lk_http_server_config config;
		lk_http_server_config_default(&config);
		config.address = "127.0.0.1:0";
		config.threads = 2;
		config.header_bytes_max = 2048;
		config.request_timeout_ms = 500;
		config.routes = routes;
		config.route_count = 2;
		EXPECT_EQ(lk_http_server_start(&server, &config), CW_OK);
	}
	~ServerFixture()
	{
		lk_http_server_stop(server);
	}
	ServerFixture(const ServerFixture &) = delete;
	ServerFixture &operator=(const ServerFixture &) = delete;

	int
	connect_to()
	{
		struct sockaddr_in address = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_port = htons(lk_http_server_port(server));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(
		    connect(fd, (struct sockaddr *)&address, sizeof(address)),
		    0);
		return fd;
	}
	// Sends raw bytes on a new connection, and returns what the server
	// sends until it closes the connection.
	std::string
	send_raw(const std::string &bytes, bool half_close)
	{
		std::string received;
		char buffer[4096];
		ssize_t n;
		int fd = connect_to();
		EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
		    (ssize_t)bytes.size());
		if (half_close)
			shutdown(fd, SHUT_WR);
		while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			received.append(buffer, (size_t)n);
		close(fd);
		return received;
	}
	int status = 200;
	int deep_status = 201;
	struct lk_http_server *server = nullptr;
};

const char CLOSE[] = "Host: a\r\nConnection: close\r\n";

void
write_certificate(const std::string &path)
{
	EVP_PKEY *key = EVP_RSA_gen(2048);
	X509 *certificate = X509_new();
	FILE *file = fopen(path.c_str(), "w");

	ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
	X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
	X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
	X509_set_pubkey(certificate, key);
	X509_sign(certificate, key, EVP_sha256());
	PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
	PEM_write_X509(file, certificate);
	fclose(file);
	X509_free(certificate);
	EVP_PKEY_free(key);
}

// Guards against a server that accepts a certificate although CivetWeb cannot
// serve TLS, and then crashes at the first connection.
TEST(LinkHttp, TlsIsServedOrRefused)
{
	std::string path = testing::TempDir() + "link_http.pem";
	struct lk_http_server_config config;
	struct lk_http_server *server = nullptr;

	write_certificate(path);
	lk_http_server_config_default(&config);
	config.address = "127.0.0.1:0";
	config.tls_certificate = path.c_str();
	if (lk_http_server_start(&server, &config) == CW_OK) {
		struct sockaddr_in address = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_port = htons(lk_http_server_port(server));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(
		    connect(fd, (struct sockaddr *)&address, sizeof(address)),
		    0);
		EXPECT_EQ(send(fd, "x", 1, MSG_NOSIGNAL), 1);
		shutdown(fd, SHUT_WR);
		char byte;
		while (recv(fd, &byte, 1, 0) > 0)
			;
		close(fd);
		lk_http_server_stop(server);
	} else {
		EXPECT_NE(std::string(cw_error_last()).find("TLS"),
		    std::string::npos);
	}
	remove(path.c_str());
}

// Guards against routes that shadow each other, and against requests beyond the
// limits that reach a handler.
TEST(LinkHttp, LongestPrefixIsServedAndInvalidRequestsAreRefused)
{
	ServerFixture server;
	struct {
		std::string request;
		const char *first_line;
	} cases[] = {
	    {"POST /echo HTTP/1.1\r\nContent-Length: 2\r\n", "200"},
	    {"POST /echo/deep/er HTTP/1.1\r\nContent-Length: 2\r\n", "201"},
	    {"GET /echo HTTP/1.1\r\n", "405"},
	    {"POST /other HTTP/1.1\r\nContent-Length: 2\r\n", "404"},
	    {"POST /echo HTTP/1.1\r\nContent-Length: 65\r\n", "413"},
	    {"POST /echo HTTP/1.1\r\nContent-Length: 3\r\n", "400"},
	    {"POST /echo HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n",
		"4"},
	};
	for (auto &test_case : cases) {
		std::string received =
		    server.send_raw(test_case.request + CLOSE + "\r\nhi", true);
		EXPECT_EQ(received.compare(9, strlen(test_case.first_line),
			      test_case.first_line),
		    0)
		    << test_case.request << received;
		if (received.compare(9, 1, "2") != 0) {
			EXPECT_NE(received.find("\"ran\":\"not run\""),
			    std::string::npos)
			    << received;
		}
	}
}

// Guards against a header value that injects a header, and against a chunked
// body that is truncated or exceeds the limit.
TEST(LinkHttp, HeadersAreNotInjectedAndChunkedBodiesAreLimited)
{
	ServerFixture server;
	std::string head = std::string("POST /echo HTTP/1.1\r\nX-Name: me\r\n"
				       "Transfer-Encoding: chunked\r\n") +
	    CLOSE + "\r\n";
	std::string received =
	    server.send_raw(head + "5\r\nhello\r\n0\r\n\r\n", false);

	EXPECT_NE(received.find("X-Seen: me"), std::string::npos) << received;
	EXPECT_EQ(received.find("Set-Cookie"), std::string::npos);
	EXPECT_EQ(received.substr(received.size() - 5), "hello");
	received = server.send_raw(
	    head + "50\r\n" + std::string(80, 'x') + "\r\n0\r\n\r\n", false);
	EXPECT_EQ(received.compare(9, 3, "413"), 0) << received;
}

// Guards against a client that sends part of a request and occupies a thread
// forever.
TEST(LinkHttp, IncompleteRequestTimesOut)
{
	ServerFixture server;
	std::string received =
	    server.send_raw("POST /echo HTTP/1.1\r\nHost", false);

	EXPECT_EQ(received.find("200"), std::string::npos);
}

// Guards against idle keep-alive connections, such as those of a load balancer,
// that occupy all threads.
TEST(LinkHttp, IdleConnectionsDoNotBlockOthers)
{
	ServerFixture server;
	const char request[] =
	    "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
	struct timeval deadline = {20, 0};
	std::vector<int> fds;
	auto send_request = [&] {
		std::string received;
		char buffer[1024];
		ssize_t n;
		fds.push_back(server.connect_to());
		setsockopt(fds.back(), SOL_SOCKET, SO_RCVTIMEO, &deadline,
		    sizeof(deadline));
		send(fds.back(), request, sizeof(request) - 1, MSG_NOSIGNAL);
		while (received.find("\r\n\r\nx") == std::string::npos &&
		    (n = recv(fds.back(), buffer, sizeof(buffer), 0)) > 0)
			received.append(buffer, (size_t)n);
		EXPECT_NE(received.find("200 OK"), std::string::npos);
		return received.find("keep-alive") != std::string::npos;
	};

	for (int i = 0; i < 6; i++)
		ASSERT_EQ(send_request(), i == 0)
		    << "only one of two threads holds idle connections";
	// A thread is free once the server has detected the closed connection.
	bool kept_alive = false;
	for (int i = 0; i < 2000 && !kept_alive; i++) {
		for (int fd : fds)
			close(fd);
		fds.clear();
		kept_alive = send_request();
		if (!kept_alive)
			usleep(1000);
	}
	EXPECT_TRUE(kept_alive);
	for (int fd : fds)
		close(fd);
}

struct ClientFixture {
	ClientFixture()
	{
		EXPECT_EQ(lk_http_client_create(&client), CW_OK);
	}
	~ClientFixture()
	{
		free(answer.body);
		lk_http_client_destroy(client);
	}
	ClientFixture(const ClientFixture &) = delete;
	ClientFixture &operator=(const ClientFixture &) = delete;

	enum lk_http_outcome
	call(const std::string &address, uint32_t timeout_ms = 20000)
	{
		struct lk_http_caller caller = lk_http_client_caller(client);
		struct lk_http_call out = {};

		free(answer.body);
		out.idle_max = 4;
		out.address = address.c_str();
		out.path = "/run";
		out.body = "ask";
		out.body_bytes = 3;
		out.answer_bytes_max = 1000;
		out.connect_timeout_ms = 5000;
		out.timeout_ms = timeout_ms;
		EXPECT_EQ(caller.call(caller.ctx, &out, &answer), CW_OK);
		return answer.outcome;
	}
	struct lk_http_client *client = nullptr;
	struct lk_http_answer answer = {};
};

// Guards against a truncated answer that is reported as complete, and against a
// failure after the request was sent that is reported as not started.
TEST(LinkHttp, OutcomeTellsWhichPartOfTheCallFailed)
{
	struct {
		Action action;
		enum lk_http_outcome outcome;
	} cases[] = {
	    {answer("200 OK", "fine"), LK_HTTP_COMPLETE},
	    {{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		 Action::CLOSE},
		LK_HTTP_TRUNCATED},
	    {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	      "9\r\nhalf",
		 Action::CLOSE},
		LK_HTTP_TRUNCATED},
	    {{"HTTP/1.1 200 OK\r\n\r\nno end announced", Action::CLOSE},
		LK_HTTP_TRUNCATED},
	    {{"", Action::CLOSE}, LK_HTTP_LOST},
	    {{"", Action::SILENCE}, LK_HTTP_TIMEOUT},
	    {answer("200 OK", std::string(1001, 'x')), LK_HTTP_TOO_LARGE},
	};
	for (auto &test_case : cases) {
		FakeUpstream upstream([&](const std::string &, int, int) {
			return test_case.action;
		});
		ClientFixture client;
		bool silent = test_case.outcome == LK_HTTP_TIMEOUT;

		EXPECT_EQ(client.call(upstream.address, silent ? 50 : 20000),
		    test_case.outcome)
		    << test_case.action.bytes;
		EXPECT_EQ(client.answer.body != nullptr,
		    test_case.outcome == LK_HTTP_COMPLETE);
	}
	ClientFixture client;
	std::string closed_address = FakeUpstream(nullptr).address;
	EXPECT_EQ(client.call(closed_address), LK_HTTP_NOT_STARTED);
}

// Guards against libcurl's automatic retry when a pooled connection ends after
// the request was read: the upstream would run the request twice.
TEST(LinkHttp, RequestIsNotRetriedWhenAPooledConnectionEnds)
{
	FakeUpstream upstream([](const std::string &, int, int on_connection) {
		return on_connection == 0 ? answer("200 OK", "fine")
					  : Action{"", Action::CLOSE};
	});
	ClientFixture client;

	ASSERT_EQ(client.call(upstream.address), LK_HTTP_COMPLETE);
	EXPECT_FALSE(client.answer.pooled);
	EXPECT_EQ(client.call(upstream.address), LK_HTTP_LOST);
	EXPECT_EQ(upstream.requests, 2);
	EXPECT_EQ(client.call(upstream.address), LK_HTTP_COMPLETE);
	EXPECT_EQ(upstream.connections, 2);
}

// Guards against ignoring an upstream's announcement that it is leaving.
TEST(LinkHttp, LeavingUpstreamIsReported)
{
	struct {
		const char *status;
		const char *headers;
		bool leaving;
	} cases[] = {
	    {"200 OK", "x-upstream-leaving: 1\r\n", true},
	    {"503 Busy", "Connection: close\r\n", true},
	    {"200 OK", "Connection: close\r\n", false},
	    {"503 Busy", "Retry-After: 2\r\n", false},
	};
	for (auto &test_case : cases) {
		FakeUpstream upstream([&](const std::string &, int, int) {
			return answer(test_case.status, "", test_case.headers);
		});
		ClientFixture client;

		EXPECT_EQ(client.call(upstream.address), LK_HTTP_COMPLETE);
		EXPECT_EQ(client.answer.leaving, test_case.leaving)
		    << test_case.headers;
	}
}

} // namespace

/* Guards against a server that listens on another port than the one that was
 * given, as its address was cut. */
TEST(LinkHttp, AddressIsNotCut)
{
	/* The longest one of IPv6 has 53 characters. */
	const std::string longest = "127.0.0.1:" + std::string(38, '0');
	struct lk_http_server_config config;
	struct lk_http_server *server = nullptr;
	std::string address;
	uint16_t port;

	lk_http_server_config_default(&config);
	config.address = "127.0.0.1:0";
	ASSERT_EQ(CW_OK, lk_http_server_start(&server, &config));
	port = lk_http_server_port(server);
	lk_http_server_stop(server);
	address = longest + std::to_string(port);
	ASSERT_LE(address.size(), 53U);
	config.address = address.c_str();
	ASSERT_EQ(CW_OK, lk_http_server_start(&server, &config))
	    << cw_error_last();
	EXPECT_EQ(port, lk_http_server_port(server));
	lk_http_server_stop(server);
	address = longest + std::string(8, '0') + std::to_string(port);
	config.address = address.c_str();
	EXPECT_EQ(LK_ESERVER, lk_http_server_start(&server, &config));
}
