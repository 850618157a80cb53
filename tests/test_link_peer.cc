#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include <zmq.h>

#include "peer.h"

namespace {

constexpr std::chrono::seconds kDeadline{20};

struct Key {
	Key()
	{
		EXPECT_EQ(zmq_curve_keypair(public_key, secret_key), 0);
	}
	char public_key[LK_PEER_KEY_BYTES];
	char secret_key[LK_PEER_KEY_BYTES];
};

// One daemon's link and what it has received.
struct Node {
	explicit Node(const Key *key, const char *bind = "127.0.0.1:*",
	    const Key *server = nullptr)
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
			options.key_of = key_of;
		options.receive = receive;
		options.ctx = this;
		EXPECT_EQ(lk_peer_start(&peer, &options), CW_OK)
		    << cw_error_last();
	}
	~Node()
	{
		stop();
	}
	Node(const Node &) = delete;
	Node &operator=(const Node &) = delete;
	void
	stop()
	{
		if (peer != nullptr)
			lk_peer_stop(peer);
		peer = nullptr;
	}
	static int
	key_of(void *ctx, const char *, char *key)
	{
		memcpy(key, static_cast<Node *>(ctx)->server_key->public_key,
		    LK_PEER_KEY_BYTES);
		return CW_OK;
	}
	static void
	receive(void *ctx, const void *data, size_t bytes)
	{
		Node *node = static_cast<Node *>(ctx);
		std::lock_guard<std::mutex> guard(node->lock);
		node->got.emplace_back(static_cast<const char *>(data), bytes);
		node->changed.notify_all();
	}
	// Sends until the other end has received the message.
	bool
	reaches(Node &other, const std::string &text)
	{
		auto end = std::chrono::steady_clock::now() + kDeadline;
		std::unique_lock<std::mutex> guard(other.lock);
		while (std::chrono::steady_clock::now() < end) {
			lk_peer_send(peer, lk_peer_address(other.peer),
			    text.data(), text.size());
			other.changed.wait_for(
			    guard, std::chrono::milliseconds(50));
			if (!other.got.empty() && other.got.back() == text)
				return true;
		}
		return false;
	}
	const Key *server_key = nullptr;
	struct lk_peer *peer = nullptr;
	std::mutex lock;
	std::condition_variable changed;
	std::vector<std::string> got;
};

// Guards against messages that are cut, and against a peer that is not reached
// again after its process was replaced at the same address.
TEST(LinkPeer, RestartedPeerIsReachedAgain)
{
	Key key;
	Node a(&key);
	Node b(&key);
	std::string large(72 * 1024, 'x');
	EXPECT_TRUE(a.reaches(b, "one"));
	EXPECT_TRUE(b.reaches(a, large));
	std::string address = lk_peer_address(b.peer);
	b.stop();
	Node again(&key, address.c_str());
	EXPECT_TRUE(a.reaches(again, "two"));
}

// Guards against a stranger that gets a message in: a key that is not known, a
// client without CURVE, and a wrong server key.
TEST(LinkPeer, StrangersAreRefused)
{
	Key key, other;
	Node server(&key);
	Node friendly(&key);
	Node stranger(&other, "127.0.0.1:*", &key);
	Node clear(nullptr);
	Node misled(&key, "127.0.0.1:*", &other);
	auto end = std::chrono::steady_clock::now() + kDeadline;
	struct lk_peer_counts counters = {};
	while (
	    counters.auth_failures == 0 && std::chrono::steady_clock::now() < end) {
		for (Node *node : {&stranger, &clear, &misled})
			lk_peer_send(
			    node->peer, lk_peer_address(server.peer), "bad", 3);
		EXPECT_TRUE(friendly.reaches(server, "good"));
		lk_peer_counters(server.peer, &counters);
	}
	EXPECT_GT(counters.auth_failures, 0u);
	std::lock_guard<std::mutex> guard(server.lock);
	for (const std::string &text : server.got)
		EXPECT_EQ(text, "good");
}

// Guards against memory that grows for a peer that is not there, and against a
// sender that blocks.
TEST(LinkPeer, QueuesAreBounded)
{
	Key key;
	Node a(&key);
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
	auto end = std::chrono::steady_clock::now() + kDeadline;
	while (
	    counters.dropped < 2000 && std::chrono::steady_clock::now() < end)
		lk_peer_counters(a.peer, &counters);
	EXPECT_EQ(counters.dropped, 2000u);
	EXPECT_EQ(counters.sent, 0u);
}

// Guards against a daemon that starts with keys it cannot use.
TEST(LinkPeer, WrongKeysAndAddressesAreErrors)
{
	const struct {
		const char *bind;
		const char *key;
		int code;
	} cases[] = {{"127.0.0.1:*", "short", LK_PEER_EKEY},
	    {"not an address", "", LK_PEER_EBIND}};
	for (const auto &c : cases) {
		struct lk_peer_options options = {};
		struct lk_peer *peer;
		options.bind = c.bind;
		options.receive = Node::receive;
		strcpy(options.public_key, c.key);
		EXPECT_EQ(lk_peer_start(&peer, &options), c.code);
	}
}

} // namespace
