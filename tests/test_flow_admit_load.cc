#include "admit_play.h"

namespace {

double
steady(int kind, int64_t)
{
	static const double loads[KINDS] = {0.2, 0.3, 0.3};

	return loads[kind];
}

} // namespace

/* Guards against rejections, and records, where there is capacity for all. */
TEST(FlowAdmitLoad, WithoutOverloadNothingIsRejected)
{
	Scenario scenario;

	scenario.load = steady;
	Comparison play(scenario, 1);

	play.print("steady");
	EXPECT_EQ(0, play.rejected());
	EXPECT_EQ(play.before.tally(Comparison::any_job).useful,
	    play.after.tally(Comparison::any_job).useful);
}

/* Guards against a burst in which jobs are rejected that could be done after
 * it: 5 times the least urgent kind for 8 s on a full deployment. */
TEST(FlowAdmitLoad, Burst)
{
	Scenario scenario;

	scenario.load = [](int kind, int64_t ms) {
		bool burst = kind == 2 && ms >= 5000 && ms < 13000;

		return steady(kind, ms) * (burst ? 10 : 1) * 1.2;
	};
	for (unsigned seed = 1; seed <= 3; seed++) {
		Comparison play(scenario, seed);

		play.print("burst");
		play.check();
	}
}

/* Guards against rejections by a capacity that is lower than before, although
 * what is left serves the jobs: a third of the workers are lost for good. */
TEST(FlowAdmitLoad, ThirdOfTheWorkersGone)
{
	Scenario scenario;

	scenario.lost_hosts = 7;
	scenario.lost_ms = 5000;
	scenario.load = [](int kind, int64_t ms) {
		return steady(kind, ms) * 1.5;
	};
	for (unsigned seed = 1; seed <= 3; seed++) {
		Comparison play(scenario, seed);

		play.print("third");
		play.check();
	}
}

/* Guards against rejections by estimates that are wrong by up to 0.9 of
 * themselves, in a burst of all kinds. */
TEST(FlowAdmitLoad, BadEstimates)
{
	Scenario scenario;

	scenario.error = 0.9;
	scenario.load = [](int kind, int64_t ms) {
		bool burst = ms >= 5000 && ms < 14000;

		return steady(kind, ms) * (burst ? 5 : 1);
	};
	for (unsigned seed = 1; seed <= 3; seed++) {
		Comparison play(scenario, seed);

		play.print("estimates");
		play.check();
	}
}

/* Guards against accounts that are rejected because another one submits most of
 * the jobs, and against a flood that is accepted. */
TEST(FlowAdmitLoad, OneAccountFloods)
{
	Scenario scenario;

	scenario.load = [](int kind, int64_t ms) {
		return steady(kind, ms) * 5;
	};
	scenario.account = [](std::mt19937 &random) {
		return random() % 10 < 8 ? 0 : 1 + (int)(random() % 9);
	};
	for (unsigned seed = 1; seed <= 3; seed++) {
		Comparison play(scenario, seed);

		play.print("flood");
		play.check();
		auto others = [](const Job &job) {
			return job.account != 0;
		};
		Tally a = play.before.tally(others);
		Tally b = play.after.tally(others);
		printf("flood others jobs=%d useful=%d->%d rejected=%d "
		       "rejected_but_possible=%d\n",
		    a.submitted, a.useful, b.useful, b.submitted - b.accepted,
		    play.rejected_but_possible(others));
		/* An account may exceed its share for a moment by itself. */
		EXPECT_LE((b.submitted - b.accepted) * 100, b.submitted);
		EXPECT_EQ(0, play.rejected_but_possible(others));
		EXPECT_GE(b.useful, a.useful * 98 / 100);
		EXPECT_GE(play.rejected(), 100);
	}
}

/* Guards against urgent jobs within a guarantee that are rejected or late: an
 * account asks its guarantee back in the middle of an overload. */
TEST(FlowAdmitLoad, GuaranteeAskedBack)
{
	Scenario scenario;

	scenario.guaranteed = 60;
	scenario.load = [](int kind, int64_t ms) {
		if (kind == 0)
			return ms >= 10000 && ms < 20000 ? 0.3 : 0.0;
		return 1.5;
	};
	scenario.account = [](std::mt19937 &random) {
		return (int)(random() % 3);
	};
	for (unsigned seed = 1; seed <= 3; seed++) {
		Comparison play(scenario, seed);

		play.print("guarantee");
		play.check();
		auto asked = [](const Job &job) {
			return job.kind == 0 && job.account == 0;
		};
		Tally b = play.after.tally(asked);

		EXPECT_GT(b.submitted, 0);
		EXPECT_EQ(b.submitted, b.useful);
		EXPECT_GT(play.rejected(), 0);
	}
}
