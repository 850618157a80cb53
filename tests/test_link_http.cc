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

	lk_http_response_header(
	    response, "X-Seen", name == nullptr ? "none" : name);
	lk_http_response_header(response, "X-Bad", "a\r\nSet-Cookie: b");
	lk_http_response_copy(response, *static_cast<int *>(ctx), request->body,
	    request->body_bytes);
}

struct Server {
	Server()
	{
		struct lk_http_route routes[] = {
		    {"POST", "/echo", 64, echo, &status},
		    {"POST", "/echo/deep", 64, echo, &deep},
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
	~Server()
	{
		lk_http_server_stop(server);
	}
	Server(const Server &) = delete;
	Server &operator=(const Server &) = delete;

	int
	open()
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
	// Sends raw bytes, and returns what comes back until the end or, for
	// kept connections, until as many bodies as asked for have arrived.
	std::string
	exchange(const std::string &bytes, bool half_close)
	{
		std::string got;
		char buffer[4096];
		ssize_t n;
		int fd = open();
		EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
		    (ssize_t)bytes.size());
		if (half_close)
			shutdown(fd, SHUT_WR);
		while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			got.append(buffer, (size_t)n);
		close(fd);
		return got;
	}
	int status = 200;
	int deep = 201;
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

// Guards against a server that takes a certificate, cannot serve TLS, and
// crashes with the first connection.
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

// Guards against routes that shadow each other and against requests beyond the
// limits that reach a handler.
TEST(LinkHttp, RoutesAndRefusals)
{
	Server server;
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
	for (auto &c : cases) {
		std::string got =
		    server.exchange(c.request + CLOSE + "\r\nhi", true);
		EXPECT_EQ(got.compare(9, strlen(c.first_line), c.first_line), 0)
		    << c.request << got;
		if (got.compare(9, 1, "2") != 0) {
			EXPECT_NE(
			    got.find("\"ran\":\"not run\""), std::string::npos)
			    << got;
		}
	}
}

// Guards against a header value that starts a new header, and against a
// chunked body that is cut or passes the limit.
TEST(LinkHttp, HeadersAndChunkedBodies)
{
	Server server;
	std::string head = std::string("POST /echo HTTP/1.1\r\nX-Name: me\r\n"
				       "Transfer-Encoding: chunked\r\n") +
	    CLOSE + "\r\n";
	std::string got =
	    server.exchange(head + "5\r\nhello\r\n0\r\n\r\n", false);

	EXPECT_NE(got.find("X-Seen: me"), std::string::npos) << got;
	EXPECT_EQ(got.find("Set-Cookie"), std::string::npos);
	EXPECT_EQ(got.substr(got.size() - 5), "hello");
	got = server.exchange(
	    head + "50\r\n" + std::string(80, 'x') + "\r\n0\r\n\r\n", false);
	EXPECT_EQ(got.compare(9, 3, "413"), 0) << got;
}

// Guards against a caller that opens a connection and sends half a request: it
// would hold a thread for ever.
TEST(LinkHttp, SlowRequestIsEnded)
{
	Server server;
	std::string got = server.exchange("POST /echo HTTP/1.1\r\nHost", false);

	EXPECT_EQ(got.find("200"), std::string::npos);
}

// Guards against idle connections, as of a balancer, that hold all threads.
TEST(LinkHttp, IdleConnectionsDoNotBlockOthers)
{
	Server server;
	const char request[] =
	    "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
	struct timeval deadline = {20, 0};
	std::vector<int> fds;
	auto ask = [&] {
		std::string got;
		char buffer[1024];
		ssize_t n;
		fds.push_back(server.open());
		setsockopt(fds.back(), SOL_SOCKET, SO_RCVTIMEO, &deadline,
		    sizeof(deadline));
		send(fds.back(), request, sizeof(request) - 1, MSG_NOSIGNAL);
		while (got.find("\r\n\r\nx") == std::string::npos &&
		    (n = recv(fds.back(), buffer, sizeof(buffer), 0)) > 0)
			got.append(buffer, (size_t)n);
		EXPECT_NE(got.find("200 OK"), std::string::npos);
		return got.find("keep-alive") != std::string::npos;
	};

	for (int i = 0; i < 6; i++)
		ASSERT_EQ(ask(), i == 0) << "one of two threads keeps";
	// A closed connection gives its thread back, once the server sees it.
	bool kept = false;
	for (int i = 0; i < 2000 && !kept; i++) {
		for (int fd : fds)
			close(fd);
		fds.clear();
		kept = ask();
		if (!kept)
			usleep(1000);
	}
	EXPECT_TRUE(kept);
	for (int fd : fds)
		close(fd);
}

struct Client {
	Client()
	{
		EXPECT_EQ(lk_http_client_create(&client), CW_OK);
	}
	~Client()
	{
		free(answer.body);
		lk_http_client_destroy(client);
	}
	Client(const Client &) = delete;
	Client &operator=(const Client &) = delete;

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

// Guards against a truncated answer taken as whole, and against a failure
// after the request left that is taken for one before.
TEST(LinkHttp, OutcomeTellsHowFarTheRequestCame)
{
	struct {
		Action action;
		enum lk_http_outcome outcome;
	} cases[] = {
	    {answer("200 OK", "fine"), LK_HTTP_WHOLE},
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
	for (auto &c : cases) {
		FakeUpstream upstream([&](const std::string &, int, int) {
			return c.action;
		});
		Client client;
		bool silent = c.outcome == LK_HTTP_TIMEOUT;

		EXPECT_EQ(client.call(upstream.address, silent ? 50 : 20000),
		    c.outcome)
		    << c.action.bytes;
		EXPECT_EQ(
		    client.answer.body != nullptr, c.outcome == LK_HTTP_WHOLE);
	}
	Client client;
	std::string gone = FakeUpstream(nullptr).address;
	EXPECT_EQ(client.call(gone), LK_HTTP_NOT_STARTED);
}

// Guards against libcurl's own repetition on a kept connection that dies after
// the request was read: the upstream would run it twice.
TEST(LinkHttp, RequestIsIssuedOnceOnADyingKeptConnection)
{
	FakeUpstream upstream([](const std::string &, int, int on_connection) {
		return on_connection == 0 ? answer("200 OK", "fine")
					  : Action{"", Action::CLOSE};
	});
	Client client;

	ASSERT_EQ(client.call(upstream.address), LK_HTTP_WHOLE);
	EXPECT_FALSE(client.answer.pooled);
	EXPECT_EQ(client.call(upstream.address), LK_HTTP_LOST);
	EXPECT_EQ(upstream.requests, 2);
	EXPECT_EQ(client.call(upstream.address), LK_HTTP_WHOLE);
	EXPECT_EQ(upstream.connections, 2);
}

// Guards against signals of a leaving upstream that are overlooked.
TEST(LinkHttp, LeavingIsReported)
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
	for (auto &c : cases) {
		FakeUpstream upstream([&](const std::string &, int, int) {
			return answer(c.status, "", c.headers);
		});
		Client client;

		EXPECT_EQ(client.call(upstream.address), LK_HTTP_WHOLE);
		EXPECT_EQ(client.answer.leaving, c.leaving) << c.headers;
	}
}

} // namespace
