/*
 * Plays two daemons on loopback. The operator revokes a key of a client account
 * and adds another account in the same version. The name of the new account has
 * 58 characters. TROUBLE=0: the same with a name of 10 characters.
 *
 * Usage: long_name CAMPHORD RECORD. Exits with 1 if a daemon accepts a job with
 * the revoked key, or refuses one with the key of the new account, later than
 * ConfigApplyMs after the acknowledgement; 0 if none does; 2 if the case could
 * not run.
 */
#include "deployment.h"

static const int DAEMONS = 2;
static const int64_t CONFIG_APPLY_MS = 3000;
static const char *const LONG_NAME =
    "faculty-of-teacher-education-of-the-university-of-akureyri";
static const char *const JOB =
    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":2000,\"MemMb\":100,"
    "\"Gpu\":1,\"EstimateMs\":1000}]}";

static Deployment deployment;
static Checker checker;

/* Returns a configuration in which an account has a key, and another one too if
 * other is not empty. */
static std::string
configuration(int version, const std::string &key, const std::string &other)
{
	std::string text = "{\"Version\":" + std::to_string(version) +
	    ",\"Routes\":[{\"Name\":\"q\",\"Host\":\"h.example\","
	    "\"PathPrefix\":\"/jobs/\",\"Service\":\"pool\",\"Priority\":1,"
	    "\"MaxAttempts\":3,\"Stretch\":3,\"TargetLatencyMs\":1000}],"
	    "\"Services\":[{\"Name\":\"pool\"}],\"Tenants\":[{\"Name\":\"t\","
	    "\"ApiKeys\":[\"" +
	    key + "\"]}";

	if (!other.empty())
		text +=
		    ",{\"Name\":\"" + other + "\",\"ApiKeys\":[\"other-key\"]}";
	return text + "]}";
}

/* Returns the exit code. */
static int
play(Runner &runner)
{
	int broken = 0;

	deployment.configure(configuration(1, "first-key", ""));
	runner.id = "i-0";
	runner.record = &deployment.record;
	runner.checker = &checker;
	runner.publish = [](Runner &row) {
		deployment.publish(row);
	};
	runner.lateness = [](const std::string &) -> int64_t {
		return 0;
	};
	if (!runner.come_up())
		return 2;
	for (int i = 0; i < DAEMONS; i++)
		if (!deployment.start_daemon(i))
			return 2;
	if (!deployment.ready() ||
	    deployment.submit(0, "first-key", "000000000000c000", JOB) != 200)
		return 2;
	deployment.configure(configuration(
	    2, "second-key", is_calm() ? "university" : LONG_NAME));
	std::this_thread::sleep_for(
	    std::chrono::milliseconds(CONFIG_APPLY_MS + 500));
	for (int n = 0; n < 10 * DAEMONS; n++) {
		char id[24];
		int revoked;
		int added;

		snprintf(id, sizeof(id), "%016x", 0xc100 + n);
		revoked = deployment.submit((size_t)n, "first-key", id, JOB);
		snprintf(id, sizeof(id), "%016x", 0xc200 + n);
		added = deployment.submit((size_t)n, "other-key", id, JOB);
		if (revoked == 200)
			deployment.record.line("BROKEN CONFIG: a job is "
					       "accepted with a revoked key");
		if (added == 401)
			deployment.record.line("BROKEN CONFIG: a job is "
					       "refused with 401 though its "
					       "key is there");
		broken += (revoked == 200) + (added == 401);
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	printf("calls handled as only the older version allows: %d of %d\n",
	    broken, 20 * DAEMONS);
	return broken > 0 ? 1 : 0;
}

int
main(int argc, char **argv)
{
	static Runner runner;
	int code = 2;

	if (argc == 3 && deployment.prepare(argv[1], argv[2]))
		code = play(runner);
	deployment.end();
	fflush(nullptr);
	/* The threads of the stand-ins are still running. */
	_exit(code);
}
