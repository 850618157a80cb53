#ifndef CAMPHOR_TESTS_CTL_PROGRAM_H
#define CAMPHOR_TESTS_CTL_PROGRAM_H

#include <gtest/gtest.h>

#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <string>

// Runs camphorctl as a user does and collects what it prints.
struct Result {
	int code;
	std::string out; // both streams
};

inline Result
run_ctl(const std::string &arguments)
{
	std::string line = "env -u CAMPHOR_KEY -u CAMPHOR_ACCOUNT -u "
			   "CAMPHOR_SERVER -u CAMPHOR_CA " CAMPHORCTL " " +
	    arguments + " 2>&1 </dev/null";
	FILE *pipe = popen(line.c_str(), "r");
	char buffer[4096];
	Result run;
	size_t n;

	while ((n = fread(buffer, 1, sizeof(buffer), pipe)) > 0)
		run.out.append(buffer, n);
	run.code = WEXITSTATUS(pclose(pipe));
	return run;
}

inline std::string
write_file(const std::string &name, const std::string &text)
{
	std::string path = testing::TempDir() + "camphor-cli-" + name;

	std::ofstream(path) << text;
	return path;
}

inline bool
has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

#endif
