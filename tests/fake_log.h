#ifndef CAMPHOR_TESTS_FAKE_LOG_H
#define CAMPHOR_TESTS_FAKE_LOG_H

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "platform.h"

// An in-memory log of the platform with fault injection. The clock is advanced
// by the test.
struct FakeLog {
	struct Stream {
		std::vector<std::string> entries;
		uint64_t first = 0;
	};

	struct pf_log
	log()
	{
		return {append, read, range, this};
	}
	// Removes the entries before an offset, as the retention time does.
	void
	expire(const std::string &stream, uint64_t first)
	{
		std::lock_guard<std::mutex> guard(mutex);
		streams[stream].first = first;
	}
	static int
	append(void *ctx, const char *stream, const void *data, size_t bytes,
	    uint64_t *offset)
	{
		FakeLog *fake = static_cast<FakeLog *>(ctx);
		std::lock_guard<std::mutex> guard(fake->mutex);

		fake->appends++;
		fake->now_ms += fake->append_duration_ms;
		if (fake->outage)
			return PF_EUNREACHABLE;
		if (fake->silent)
			return PF_EUNKNOWN;
		Stream &to = fake->streams[stream];
		to.entries.emplace_back((const char *)data, bytes);
		*offset = to.entries.size() - 1;
		fake->appended.notify_all();
		if (fake->lost_answer_count > 0) {
			fake->lost_answer_count--;
			return PF_EUNKNOWN;
		}
		return CW_OK;
	}
	static int
	read(void *ctx, const char *stream, uint64_t from, uint32_t wait_ms,
	    const struct pf_log_sink *sink)
	{
		FakeLog *fake = static_cast<FakeLog *>(ctx);
		std::unique_lock<std::mutex> guard(fake->mutex);
		Stream &of = fake->streams[stream];

		if (fake->outage || fake->silent)
			return fake->outage ? PF_EUNREACHABLE : PF_EUNKNOWN;
		if (from < of.first)
			return PF_EEXPIRED;
		if (fake->blocking_reads)
			fake->appended.wait_for(
			    guard, std::chrono::milliseconds(wait_ms), [&] {
				    return from < of.entries.size();
			    });
		for (; from < of.entries.size(); from++) {
			std::string entry = of.entries[from];
			guard.unlock();
			int code = sink->entry(
			    sink->ctx, from, entry.data(), entry.size());
			guard.lock();
			if (code != CW_OK)
				return code;
		}
		return CW_OK;
	}
	static int
	range(void *ctx, const char *stream, struct pf_log_range *range)
	{
		FakeLog *fake = static_cast<FakeLog *>(ctx);
		std::lock_guard<std::mutex> guard(fake->mutex);

		if (fake->outage || fake->silent)
			return fake->outage ? PF_EUNREACHABLE : PF_EUNKNOWN;
		range->first = fake->streams[stream].first;
		range->next = fake->streams[stream].entries.size();
		return CW_OK;
	}
	static int64_t
	clock_ms(void *ctx)
	{
		return static_cast<FakeLog *>(ctx)->now_ms;
	}

	std::mutex mutex;
	std::condition_variable appended;
	std::map<std::string, Stream> streams;
	bool outage = false;       // calls fail before they are sent
	bool silent = false;       // calls are sent: no effect, no answer
	int lost_answer_count = 0; // appends that take effect without an answer
	int64_t append_duration_ms = 0; // duration of each append
	bool blocking_reads = false; // reads block for new entries in real time
	int64_t now_ms = 1000000;
	int appends = 0;
};

#endif
