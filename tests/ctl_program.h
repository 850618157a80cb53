#ifndef CAMPHOR_TESTS_CTL_PROGRAM_H
#define CAMPHOR_TESTS_CTL_PROGRAM_H

#include <gtest/gtest.h>

#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <string>

// The result of a run of camphorctl.
struct ProgramResult {
	int code;
	std::string out; // standard output and standard error
};

// Runs camphorctl through a shell, without the environment variables that it
// reads and with empty standard input.
inline ProgramResult
run_camphorctl(const std::string &arguments)
{
	std::string line = "env -u CAMPHOR_KEY -u CAMPHOR_ACCOUNT -u "
			   "CAMPHOR_SERVER -u CAMPHOR_CA " CAMPHORCTL " " +
	    arguments + " 2>&1 </dev/null";
	FILE *pipe = popen(line.c_str(), "r");
	char buffer[4096];
	ProgramResult run;
	size_t n;

	while ((n = fread(buffer, 1, sizeof(buffer), pipe)) > 0)
		run.out.append(buffer, n);
	run.code = WEXITSTATUS(pclose(pipe));
	return run;
}

// Writes a file to the folder for temporary files. Returns its path.
inline std::string
write_temp_file(const std::string &name, const std::string &text)
{
	std::string path = testing::TempDir() + "camphor-cli-" + name;

	std::ofstream(path) << text;
	return path;
}

inline bool
contains(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

#endif
