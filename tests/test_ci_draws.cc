#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>

namespace {

/* Declarations that the lines of the tests stand behind. */
const char *const declarations =
    "#include <random>\n"
    "struct Plan {\n"
    "	std::mt19937 random;\n"
    "	int draw(int from, int to) {\n"
    "		return std::uniform_int_distribution<int>(from, to)(random);\n"
    "	}\n"
    "	bool chance(int percent) { return draw(0, 99) < percent; }\n"
    "	int any() { return list[(size_t)draw(0, 9)]; }\n"
    "	int fixed(int value) { return value + 1; }\n"
    "	void play() {\n"
    "		auto task = [&] { return name(draw(1, 2)); };\n";

/* Returns what the check prints for a line in a function of a source. */
std::string
check(const std::string &line, const char *suffix = ".cc")
{
	char folder[] = "/tmp/camphor-draws-XXXXXX";
	std::string path = std::string(mkdtemp(folder)) + "/plan" + suffix;
	std::string out;
	char buffer[512];
	size_t bytes;

	std::ofstream(path) << declarations << line << "\n\t}\n};\n";
	FILE *in = popen(
	    (TEST_SOURCE_DIR "/.ci/draws " + path + " 2>&1").c_str(), "r");
	while ((bytes = fread(buffer, 1, sizeof(buffer), in)) > 0)
		out.append(buffer, bytes);
	/* The exit status says the same as the output. */
	EXPECT_EQ(out.empty(), pclose(in) == 0) << line;
	unlink(path.c_str());
	rmdir(folder);
	return out;
}

} // namespace

/* Guards against draws whose order differs between architectures and that the
 * linter lets through. */
TEST(CiDraws, DrawsInOpenOrderAreFound)
{
	for (const char *line : {
		 "submit(draw(1, 4), draw(0, 2));",
		 "submit(draw(1, 4), 3, chance(30) ? GANG : 0);",
		 "cut(worker.address, draw(300, 9000), any());",
		 "submit(\"a, b\", (uint32_t)draw(1, 4),\n"
		 "    (uint32_t)draw(0, 2));",
		 "Step step = make(draw(1, 4), draw(0, 2));",
		 "Step step(draw(1, 4), draw(0, 2));",
		 "int sum = draw(0, 3) + draw(0, 9);",
		 "int sum = draw(0, 3) * 2 - fixed(draw(0, 9));",
		 "if (draw(0, 3) == draw(0, 9)) submit();",
		 "while (draw(0, 3) < 2 + draw(0, 9)) submit();",
		 "for (int i = draw(0, 3) + draw(0, 3); i > 0; i--) submit();",
		 "return draw(0, 3) | draw(4, 5);",
		 "pack(task().c_str(), draw(0, 3));",
		 "pack(random(), random());",
		 "pack(random(), choose(random));",
		 "pack(choose(1, random), choose(2, random));",
		 "pack(cw_rng_below(&rng, 3), cw_rng_next(&rng));",
		 "run([this] { pack(draw(0, 3), any()); });",
		 "list = {pack(draw(0, 3), draw(0, 3)), 2};",
		 "EXPECT_EQ(draw(0, 3), draw(0, 3));",
		 "switch (kind) { case 1: pack(draw(0, 3), any()); }",
		 "if (x) y(); else pack(draw(0, 3), any());",
	     })
		EXPECT_NE("", check(line)) << line;
	EXPECT_NE("", check("struct slot s = {draw(0, 3), draw(0, 3)};", ".c"));
	EXPECT_NE("", check("list[draw(0, 3)] = draw(0, 3);", ".c"));
}

/* Guards against a check that rejects ordered draws and is worked round. */
TEST(CiDraws, OrderedDrawsAreAllowed)
{
	for (const char *line : {
		 "int a = draw(1, 4); int b = draw(0, 2); submit(a, b);",
		 "int a = draw(1, 4), b = draw(0, 2);",
		 "SimRoom room = {draw(0, 64) * 1000, draw(0, 64)};",
		 "return {draw(0, 64) * 1000, draw(0, 64)};",
		 "int n = draw(0, 1) == 1 ? draw(0, 2) : draw(3, 4);",
		 "if (chance(4) && chance(5)) n = draw(0, 2);",
		 "if (chance(4)) n = draw(0, 2); else n = any();",
		 "for (int i = draw(1, 8); i > draw(0, 3); i--) submit();",
		 "draw(0, lengths[draw(0, 9)]);",
		 "list[draw(0, 3)] = draw(0, 3);",
		 "out << draw(0, 3) << draw(0, 3);",
		 "schedule(draw(0, 3), [this] { n = draw(0, 3); });",
		 "submit(\"draw(1, 4), draw(0, 2)\");",
		 "submit(1, 2); // draw(1, 4) + draw(0, 2)",
		 "submit(draw(1, 4), fixed(draw), drawn(2), withdraw(3));",
		 "pack(random(), random_name);",
	     })
		EXPECT_EQ("", check(line)) << line;
}
