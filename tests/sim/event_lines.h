#ifndef CAMPHOR_TESTS_EVENT_LINES_H
#define CAMPHOR_TESTS_EVENT_LINES_H

#include <cstdint>
#include <string>
#include <vector>

#include "base.h"

/* Collects the lines of events. */
struct Lines {
	struct Line {
		enum ev_number number;
		int64_t ms;
		std::string text;
	};

	std::vector<Line> all;
	const int64_t *now_ms;
	struct ev_sink sink;

	explicit Lines(const int64_t *clock) : now_ms(clock)
	{
		sink = {[](void *ctx, enum ev_number number, enum ev_level,
			    const char *line) {
				Lines *lines = (Lines *)ctx;

				lines->all.push_back(
				    {number, *lines->now_ms, line});
			},
		    this};
		ev_sink_set(&sink);
	}

	~Lines()
	{
		ev_sink_set(nullptr);
	}

	std::vector<std::string>
	of(enum ev_number number) const
	{
		std::vector<std::string> found;

		for (const Line &line : all)
			if (line.number == number)
				found.push_back(line.text);
		return found;
	}

	/* Returns the first line of an event that has two texts. */
	std::string
	find(enum ev_number number, const std::string &a,
	    const std::string &b) const
	{
		for (const std::string &text : of(number))
			if (text.find(a) != std::string::npos &&
			    text.find(b) != std::string::npos)
				return text;
		return "";
	}
};

#endif
