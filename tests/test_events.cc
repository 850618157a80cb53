#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "base.h"

namespace {

struct EventInfo {
	std::string name, text;
};

const std::map<int, EventInfo> defined_events = {
#define EV(number, name, level, text) {number, {#name, text}},
#include "ev_list.h"
#undef EV
};

// Guards against an event that the operators' documentation lacks, and against
// a documented event that no longer exists.
TEST(Events, DocumentationMatchesDefinitions)
{
	std::ifstream file(TEST_SOURCE_DIR "/docs/events.md");
	std::set<int> documented;
	std::string line;

	ASSERT_TRUE(file.good());
	while (std::getline(file, line)) {
		if (line.rfind("| ", 0) != 0 || !isdigit(line[2]))
			continue;
		std::vector<std::string> columns;
		std::istringstream row(line.substr(2));
		std::string column;
		while (std::getline(row, column, '|'))
			columns.push_back(column.substr(0, column.size() - 1));
		ASSERT_EQ(columns.size(), 5u) << line;
		int number = std::stoi(columns[0]);
		EXPECT_TRUE(documented.insert(number).second) << line;
		ASSERT_EQ(defined_events.count(number), 1u)
		    << "not in code: " << line;
		EXPECT_EQ(" " + defined_events.at(number).name, columns[1]);
		for (const std::string &text : columns)
			EXPECT_GT(text.size(), 2u) << line;
	}
	for (const auto &event : defined_events)
		EXPECT_EQ(documented.count(event.first), 1u)
		    << "not in docs/events.md: " << event.first << " "
		    << event.second.name;
}

// Guards against two events with the same number.
TEST(Events, NumbersAreUniqueAndBelowTheLimit)
{
	std::vector<int> numbers = {
#define EV(number, name, level, text) number,
#include "ev_list.h"
#undef EV
	};
	EXPECT_EQ(std::set<int>(numbers.begin(), numbers.end()).size(),
	    numbers.size());
	for (int number : numbers)
		EXPECT_LT(number, EV_NUMBER_LIMIT);
}

} // namespace
