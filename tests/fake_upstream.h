#ifndef CAMPHOR_TESTS_FAKE_UPSTREAM_H
#define CAMPHOR_TESTS_FAKE_UPSTREAM_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

// What the upstream does with one request: sends raw bytes, then keeps,
// closes or silences the connection.
struct Action {
	std::string bytes;
	enum {
		KEEP,
		CLOSE,
		SILENCE
	} then;
};

inline Action
answer(const std::string &status, const std::string &body,
    const std::string &headers = "")
{
	return {"HTTP/1.1 " + status + "\r\nContent-Length: " +
		std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body,
	    Action::KEEP};
}

// A scripted HTTP/1.1 upstream on a loopback port. The script sees the whole
// request, the number of the request and how many came over its connection.
class FakeUpstream {
      public:
	using Script = std::function<Action(
	    const std::string &request, int number, int on_connection)>;

	explicit FakeUpstream(Script s) : script(std::move(s))
	{
		struct sockaddr_in name = {};
		socklen_t bytes = sizeof(name);

		listener = socket(AF_INET, SOCK_STREAM, 0);
		name.sin_family = AF_INET;
		name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(listener, (struct sockaddr *)&name, bytes) != 0 ||
		    listen(listener, 128) != 0)
			abort();
		getsockname(listener, (struct sockaddr *)&name, &bytes);
		address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
		acceptor = std::thread([this] {
			accept_all();
		});
	}
	~FakeUpstream()
	{
		shutdown(listener, SHUT_RDWR);
		acceptor.join();
		close(listener);
		{
			std::lock_guard<std::mutex> guard(lock);
			for (int fd : sockets)
				shutdown(fd, SHUT_RDWR);
		}
		for (std::thread &t : threads)
			t.join();
		for (int fd : sockets)
			close(fd);
	}
	FakeUpstream(const FakeUpstream &) = delete;
	FakeUpstream &operator=(const FakeUpstream &) = delete;

	std::string address;
	std::atomic<int> requests{0};
	std::atomic<int> connections{0};

      private:
	void
	accept_all()
	{
		int fd;

		while ((fd = accept(listener, nullptr, nullptr)) >= 0) {
			int one = 1;
			setsockopt(
			    fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
			std::lock_guard<std::mutex> guard(lock);
			connections++;
			sockets.push_back(fd);
			threads.emplace_back([this, fd] {
				serve(fd);
			});
		}
	}
	// Returns the bytes of the first whole request in got, 0 for none.
	static size_t
	whole(const std::string &got)
	{
		size_t head = got.find("\r\n\r\n");
		size_t length = got.find("Content-Length: ");
		size_t body = 0;

		if (head == std::string::npos)
			return 0;
		if (length != std::string::npos && length < head)
			body = std::stoul(got.substr(length + 16));
		return got.size() >= head + 4 + body ? head + 4 + body : 0;
	}
	void
	serve(int fd)
	{
		std::string got;
		char buffer[8192];
		ssize_t n;
		int served = 0;

		while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
			got.append(buffer, (size_t)n);
			size_t bytes = whole(got);
			if (bytes == 0)
				continue;
			Action act =
			    script(got.substr(0, bytes), requests++, served++);
			got.erase(0, bytes);
			send(fd, act.bytes.data(), act.bytes.size(),
			    MSG_NOSIGNAL);
			if (act.then == Action::CLOSE)
				break;
			while (act.then == Action::SILENCE &&
			    recv(fd, buffer, sizeof(buffer), 0) > 0)
				;
		}
		shutdown(fd, SHUT_RDWR);
	}
	Script script;
	int listener;
	std::thread acceptor;
	std::mutex lock;
	std::vector<int> sockets;
	std::vector<std::thread> threads;
};

#endif
