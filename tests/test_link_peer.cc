#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <zmq.h>

#include "peer.h"

namespace {

constexpr std::chrono::seconds kTimeout{20};

struct Key {
	Key()
	{
		EXPECT_EQ(zmq_curve_keypair(public_key, secret_key), 0);
	}
	char public_key[LK_PEER_KEY_BYTES];
	char secret_key[LK_PEER_KEY_BYTES];
};

// The link of one daemon, and the messages that it received.
struct PeerFixture {
	explicit PeerFixture(const Key *key, const char *bind = "127.0.0.1:*",
	    const Key *server = nullptr, uint32_t idle_close_ms = 0)
	{
		struct lk_peer_options options = {};
		options.bind = bind;
		if (key != nullptr) {
			memcpy(options.public_key, key->public_key,
			    LK_PEER_KEY_BYTES);
			memcpy(options.secret_key, key->secret_key,
			    LK_PEER_KEY_BYTES);
		}
		server_key = server;
		if (server != nullptr)
			options.lookup_key = lookup_key;
		options.receive = receive;
		options.dropped = note_dropped;
		options.idle_close_ms = idle_close_ms;
		options.ctx = this;
		EXPECT_EQ(lk_peer_start(&peer, &options), CW_OK)
		    << cw_error_last();
	}
	~PeerFixture()
	{
		stop();
	}
	PeerFixture(const PeerFixture &) = delete;
	PeerFixture &operator=(const PeerFixture &) = delete;
	void
	stop()
	{
		if (peer != nullptr)
			lk_peer_stop(peer);
		peer = nullptr;
	}
	static int
	lookup_key(void *ctx, const char *, char *key)
	{
		memcpy(key,
		    static_cast<PeerFixture *>(ctx)->server_key->public_key,
		    LK_PEER_KEY_BYTES);
		return CW_OK;
	}
	static void
	receive(void *ctx, const void *data, size_t bytes)
	{
		PeerFixture *fixture = static_cast<PeerFixture *>(ctx);
		std::lock_guard<std::mutex> guard(fixture->lock);
		fixture->received.emplace_back(
		    static_cast<const char *>(data), bytes);
		fixture->changed.notify_all();
	}
	static void
	note_dropped(void *ctx, const void *data, size_t bytes)
	{
		PeerFixture *fixture = static_cast<PeerFixture *>(ctx);
		std::lock_guard<std::mutex> guard(fixture->lock);
		fixture->dropped.emplace_back(
		    static_cast<const char *>(data), bytes);
		fixture->changed.notify_all();
	}
	// Sends a message repeatedly until the other end has received it;
	// returns false on timeout.
	bool
	send_until_received(PeerFixture &other, const std::string &text)
	{
		auto deadline = std::chrono::steady_clock::now() + kTimeout;
		std::unique_lock<std::mutex> guard(other.lock);
		while (std::chrono::steady_clock::now() < deadline) {
			lk_peer_send(peer, lk_peer_address(other.peer),
			    text.data(), text.size());
			other.changed.wait_for(
			    guard, std::chrono::milliseconds(50));
			if (!other.received.empty() &&
			    other.received.back() == text)
				return true;
		}
		return false;
	}
	const Key *server_key = nullptr;
	struct lk_peer *peer = nullptr;
	std::mutex lock;
	std::condition_variable changed;
	std::vector<std::string> received;
	std::vector<std::string> dropped;
};

// Guards against truncated messages, and against a link that does not reconnect
// after the peer was restarted at the same address.
TEST(LinkPeer, LinkReconnectsToARestartedPeer)
{
	Key key;
	PeerFixture a(&key);
	PeerFixture b(&key);
	std::string large(72 * 1024, 'x');
	EXPECT_TRUE(a.send_until_received(b, "one"));
	EXPECT_TRUE(b.send_until_received(a, large));
	std::string address = lk_peer_address(b.peer);
	b.stop();
	PeerFixture restarted(&key, address.c_str());
	EXPECT_TRUE(a.send_until_received(restarted, "two"));
}

// Guards against accepting messages from clients that fail authentication: with
// an unknown key, without CURVE, or with a wrong server key.
TEST(LinkPeer, UnauthenticatedClientsAreRefused)
{
	Key key, other;
	PeerFixture server(&key);
	PeerFixture trusted(&key);
	PeerFixture unknown_key(&other, "127.0.0.1:*", &key);
	PeerFixture without_curve(nullptr);
	PeerFixture wrong_server_key(&key, "127.0.0.1:*", &other);
	auto deadline = std::chrono::steady_clock::now() + kTimeout;
	struct lk_peer_counts counters = {};
	while (counters.auth_failures == 0 &&
	    std::chrono::steady_clock::now() < deadline) {
		for (PeerFixture *fixture :
		    {&unknown_key, &without_curve, &wrong_server_key})
			lk_peer_send(fixture->peer,
			    lk_peer_address(server.peer), "bad", 3);
		EXPECT_TRUE(trusted.send_until_received(server, "good"));
		lk_peer_counters(server.peer, &counters);
	}
	EXPECT_GT(counters.auth_failures, 0u);
	std::lock_guard<std::mutex> guard(server.lock);
	for (const std::string &text : server.received)
		EXPECT_EQ(text, "good");
}

// Guards against unbounded queues for a peer that is down, and against a send
// that blocks.
TEST(LinkPeer, QueuesAreBounded)
{
	Key key;
	PeerFixture a(&key);
	std::string text(100000, 'x');
	struct lk_peer_counts counters = {};
	for (int i = 0; i < 2000; i++) {
		int code = lk_peer_send(
		    a.peer, "127.0.0.1:1", text.data(), text.size());
		EXPECT_TRUE(code == CW_OK || code == LK_PEER_EFULL);
	}
	EXPECT_EQ(lk_peer_send(a.peer, "127.0.0.1:1", text.data(),
		      LK_PEER_MESSAGE_BYTES_MAX + 1),
	    LK_PEER_ETOOLARGE);
	auto deadline = std::chrono::steady_clock::now() + kTimeout;
	while (counters.dropped < 2000 &&
	    std::chrono::steady_clock::now() < deadline)
		lk_peer_counters(a.peer, &counters);
	EXPECT_EQ(counters.dropped, 2000u);
	EXPECT_EQ(counters.sent, 0u);
}

// Guards against connections that stay open, with their heartbeats, once
// nothing is sent over them, and against a link that cannot be used again.
TEST(LinkPeer, IdleConnectionsAreClosed)
{
	PeerFixture b(nullptr);
	PeerFixture a(nullptr, "127.0.0.1:*", nullptr, 200);
	struct lk_peer_counts counters = {};
	uint64_t dropped;

	ASSERT_TRUE(a.send_until_received(b, "one"));
	auto deadline = std::chrono::steady_clock::now() + kTimeout;
	do {
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
		lk_peer_counters(a.peer, &counters);
	} while (
	    counters.links > 0 && std::chrono::steady_clock::now() < deadline);
	EXPECT_EQ(counters.links, 0u);
	dropped = counters.dropped;
	// The connection is gone: its first message is dropped.
	ASSERT_TRUE(a.send_until_received(b, "two"));
	lk_peer_counters(a.peer, &counters);
	EXPECT_GT(counters.dropped, dropped);
}

// Guards against a sender that takes a message for sent that has not left, or
// the reverse: a call without an answer may then be told a wrong outcome.
TEST(LinkPeer, MessagesThatWereNotSentAreReported)
{
	PeerFixture a(nullptr);
	PeerFixture b(nullptr);
	struct lk_peer_counts counters = {};

	ASSERT_TRUE(a.send_until_received(b, "good"));
	ASSERT_EQ(lk_peer_send(a.peer, "127.0.0.1:1", "lost", 4), CW_OK);
	std::unique_lock<std::mutex> guard(a.lock);
	EXPECT_TRUE(a.changed.wait_for(guard, kTimeout, [&] {
		return !a.dropped.empty() && a.dropped.back() == "lost";
	}));
	// The messages before it have been handled by now.
	lk_peer_counters(a.peer, &counters);
	EXPECT_EQ(counters.dropped, a.dropped.size());
	for (size_t i = 0; i + 1 < a.dropped.size(); i++)
		EXPECT_EQ(a.dropped[i], "good");
}

// Guards against a start with an invalid key or address.
TEST(LinkPeer, StartFailsWithAnInvalidKeyOrAddress)
{
	const struct {
		const char *bind;
		const char *key;
		int code;
	} cases[] = {{"127.0.0.1:*", "short", LK_PEER_EKEY},
	    {"not an address", "", LK_PEER_EBIND}};
	for (const auto &test_case : cases) {
		struct lk_peer_options options = {};
		struct lk_peer *peer;
		options.bind = test_case.bind;
		options.receive = PeerFixture::receive;
		strcpy(options.public_key, test_case.key);
		EXPECT_EQ(lk_peer_start(&peer, &options), test_case.code);
	}
}

} // namespace
