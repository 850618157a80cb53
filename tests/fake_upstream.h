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

// Reaction of the upstream to one request: it sends raw bytes, then keeps the
// connection open, closes it, or reads on without answering (SILENCE).
struct Action {
	std::string bytes;
	enum {
		KEEP,
		CLOSE,
		SILENCE
	} then;
};

// A complete answer that keeps the connection open. Each line of headers ends
// with CRLF.
inline Action
answer(const std::string &status, const std::string &body,
    const std::string &headers = "")
{
	return {"HTTP/1.1 " + status + "\r\nContent-Length: " +
		std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body,
	    Action::KEEP};
}

// A scripted HTTP/1.1 upstream on a loopback port. The script gets the complete
// request, its number on this upstream and its number on the connection, both
// from 0.
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
	// Returns the length of the first complete request in data, 0 for none.
	static size_t
	request_bytes(const std::string &data)
	{
		size_t head = data.find("\r\n\r\n");
		size_t length = data.find("Content-Length: ");
		size_t body = 0;

		if (head == std::string::npos)
			return 0;
		if (length != std::string::npos && length < head)
			body = std::stoul(data.substr(length + 16));
		return data.size() >= head + 4 + body ? head + 4 + body : 0;
	}
	void
	serve(int fd)
	{
		std::string data;
		char buffer[8192];
		ssize_t n;
		int served = 0;

		while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
			data.append(buffer, (size_t)n);
			size_t bytes = request_bytes(data);
			if (bytes == 0)
				continue;
			Action act =
			    script(data.substr(0, bytes), requests++, served++);
			data.erase(0, bytes);
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
