#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "base.h"

namespace {

std::pair<uint32_t, uint32_t>
place(const std::string &text, const std::vector<cw_json_step> &steps)
{
	std::pair<uint32_t, uint32_t> out;

	cw_json_place(text.data(), text.size(), steps.data(), steps.size(),
	    &out.first, &out.second);
	return out;
}

const std::string text = "{\n"
			 " \"a\": [1, {\"b\": \"x,]}\\\"\", \"c\" : 2}, [] ],\n"
			 " \"\u00e9\": true, \"d\": -1.5e3,\n"
			 " \"a2\": {}, \"d\" :null }\n";

} // namespace

using Place = std::pair<uint32_t, uint32_t>;

/* Guards against errors that point to another entry than the faulty one. */
TEST(JsonPlace, ValuesAreFound)
{
	EXPECT_EQ(Place(1, 1), place(text, {}));
	EXPECT_EQ(Place(2, 7), place(text, {{"a", 0}}));
	EXPECT_EQ(Place(2, 8), place(text, {{"a", 0}, {nullptr, 0}}));
	EXPECT_EQ(Place(2, 11), place(text, {{"a", 0}, {nullptr, 1}}));
	EXPECT_EQ(
	    Place(2, 17), place(text, {{"a", 0}, {nullptr, 1}, {"b", 0}}));
	EXPECT_EQ(
	    Place(2, 33), place(text, {{"a", 0}, {nullptr, 1}, {"c", 0}}));
	EXPECT_EQ(Place(2, 37), place(text, {{"a", 0}, {nullptr, 2}}));
	EXPECT_EQ(Place(3, 7), place(text, {{"\u00e9", 0}}));
	EXPECT_EQ(Place(4, 8), place(text, {{"a2", 0}}));
}

/* Guards against the place of a member that the parser does not use. */
TEST(JsonPlace, TheLastOfEqualNamesCounts)
{
	EXPECT_EQ(Place(4, 17), place(text, {{"d", 0}}));
}

/* Guards against reads beyond the text: the place is that of the last step that
 * exists. */
TEST(JsonPlace, MissingValuesGiveThePlaceOfWhatHoldsThem)
{
	EXPECT_EQ(Place(2, 7), place(text, {{"a", 0}, {nullptr, 3}}));
	EXPECT_EQ(Place(2, 7), place(text, {{"a", 0}, {"b", 0}}));
	EXPECT_EQ(Place(2, 8), place(text, {{"a", 0}, {nullptr, 0}, {"b", 0}}));
	EXPECT_EQ(Place(1, 1), place(text, {{"none", 0}}));
	EXPECT_EQ(Place(1, 1), place("", {{"none", 0}, {nullptr, 4}}));
	for (size_t bytes = 0; bytes < text.size(); bytes++)
		for (const char *name : {"a", "d", "a2"})
			place(std::string(text, 0, bytes),
			    {{name, 0}, {nullptr, 2}, {"b", 0}});
}
