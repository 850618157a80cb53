#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "report_internal.h"

#define HOUR_MS 3600000.0

static double hours(int64_t ms);
static char *format(const struct rp_report *report, size_t *bytes,
    void (*put)(FILE *file, const struct rp_report *report));
static void put_text(FILE *file, const struct rp_report *report);
static void put_text_accounts(FILE *file, const struct rp_report *report);
static void put_text_events(FILE *file, const struct rp_report *report);
static void put_csv_field(FILE *file, const char *text);
static void put_csv(FILE *file, const struct rp_report *report);
static void put_csv_events(FILE *file, const struct rp_report *report);
static void put_plot(FILE *file, const struct rp_report *report);

static double
hours(int64_t ms)
{
	return (double)ms / HOUR_MS;
}

static char *
format(const struct rp_report *report, size_t *bytes,
    void (*put)(FILE *file, const struct rp_report *report))
{
	char *text = NULL;
	FILE *file;

	assert(report != NULL && bytes != NULL);
	file = open_memstream(&text, bytes);
	if (file == NULL)
		return NULL;
	put(file, report);
	if (fclose(file) != 0) {
		free(text);
		return NULL;
	}
	return text;
}

static void
put_text_accounts(FILE *file, const struct rp_report *report)
{
	size_t i;

	fprintf(file,
	    "\nAccelerator hours\n%-20s %10s %10s %10s %10s %10s %10s\n",
	    "account", "promised", "short", "asked", "guaranteed", "borrowed",
	    "lost");
	for (i = 0; i < report->account_count; i++) {
		const struct rp_account *a = &report->accounts[i];

		fprintf(file,
		    "%-20s %10.2f %10.2f %10.2f %10.2f %10.2f %10.2f\n",
		    a->name, hours(a->promised_ms), hours(a->short_ms),
		    hours(a->asked_ms), hours(a->guaranteed_ms),
		    hours(a->borrowed_ms), hours(a->lost_ms));
	}
	fprintf(file, "\nJobs\n%-20s %9s %6s %6s %9s %8s %9s %9s %9s\n",
	    "account", "submitted", "done", "failed", "cancelled", "restarts",
	    "reclaimed", "waited h", "longest h");
	for (i = 0; i < report->account_count; i++) {
		const struct rp_account *a = &report->accounts[i];

		fprintf(file, "%-20s %9u %6u %6u %9u %8u %9u %9.2f %9.2f\n",
		    a->name, a->submitted, a->done, a->failed, a->cancelled,
		    a->restarts, a->reclaimed, hours(a->waited_ms),
		    hours(a->wait_max_ms));
	}
	fprintf(file, "\nNon-idempotent requests\n%-20s %9s %10s\n", "account",
	    "recorded", "unanswered");
	for (i = 0; i < report->account_count; i++)
		fprintf(file, "%-20s %9u %10u\n", report->accounts[i].name,
		    report->accounts[i].requests,
		    report->accounts[i].unanswered);
}

static void
put_text_events(FILE *file, const struct rp_report *report)
{
	char time[32];
	size_t i;

	fprintf(file, "\nPreemptions: %zu\n", report->preemption_count);
	for (i = 0; i < report->preemption_count; i++) {
		const struct rp_preemption *p = &report->preemptions[i];

		rp_time_format(p->start_ms, time);
		fprintf(file, "%s %s: job %llu \"%s\" of %s, %u accelerators",
		    time, bd_reason_name(p->reason), (unsigned long long)p->job,
		    p->name, rp_account_name(report, p->account), p->accels);
		if (p->for_job != 0)
			fprintf(file, ", for job %llu of %s",
			    (unsigned long long)p->for_job,
			    rp_account_name(report, p->for_account));
		if (p->duration_ms < 0)
			fputs(", not ended\n", file);
		else
			fprintf(file, ", %.1f s\n",
			    (double)p->duration_ms / 1000.0);
	}
	fprintf(
	    file, "\nLost attempts and failed jobs: %zu\n", report->loss_count);
	for (i = 0; i < report->loss_count; i++) {
		const struct rp_loss *l = &report->losses[i];

		rp_time_format(l->time_ms, time);
		fprintf(file,
		    "%s %s: job %llu \"%s\" of %s, %s, %.2f accelerator hours "
		    "lost%s%s\n",
		    time, l->ended ? "failed" : "restarts",
		    (unsigned long long)l->job, l->name,
		    rp_account_name(report, l->account),
		    bd_reason_name(l->reason), hours(l->lost_ms),
		    l->worker[0] == '\0' ? "" : ", worker ", l->worker);
	}
	fprintf(file, "\nConfiguration changes: %zu\n", report->change_count);
	for (i = 0; i < report->change_count; i++) {
		rp_time_format(report->changes[i].time_ms, time);
		fprintf(file, "%s version %llu by %s, %u bytes\n", time,
		    (unsigned long long)report->changes[i].version,
		    report->changes[i].author, report->changes[i].bytes);
	}
}

static void
put_text(FILE *file, const struct rp_report *report)
{
	char from[32];
	char to[32];

	rp_time_format(report->from_ms, from);
	rp_time_format(report->to_ms, to);
	fprintf(file, "Report from %s to %s\n", from, to);
	if (report->covered_from_ms > report->from_ms) {
		rp_time_format(report->covered_from_ms, from);
		fprintf(file,
		    "INCOMPLETE: records before %s are no longer kept\n", from);
	}
	if (report->left_out > 0)
		fprintf(file, "INCOMPLETE: %llu lines were left out\n",
		    (unsigned long long)report->left_out);
	fprintf(file, "%llu records, %llu of them rejected alike everywhere\n",
	    (unsigned long long)report->records,
	    (unsigned long long)report->rejected);
	put_text_accounts(file, report);
	put_text_events(file, report);
}

/* Formats the report as human-readable text. */
char *
rp_format_text(const struct rp_report *report, size_t *bytes)
{
	return format(report, bytes, put_text);
}

/* Writes a CSV field. Quotes a text that has separators, and also prefixes it
 * with an apostrophe if a spreadsheet would evaluate it as a formula. */
static void
put_csv_field(FILE *file, const char *text)
{
	bool is_formula = strchr("=+-@", *text) != NULL && *text != '\0';

	if (!is_formula && strpbrk(text, ",\"\r\n") == NULL) {
		fputs(text, file);
		return;
	}
	fputs(is_formula ? "\"'" : "\"", file);
	for (; *text != '\0'; text++) {
		if (*text == '"')
			fputc('"', file);
		fputc(*text, file);
	}
	fputc('"', file);
}

static void
put_csv_events(FILE *file, const struct rp_report *report)
{
	size_t i;

	fputs("\npreemption,start_ms,duration_ms,reason,job,job_name,account,"
	      "accelerators,for_job,for_account\n",
	    file);
	for (i = 0; i < report->preemption_count; i++) {
		const struct rp_preemption *p = &report->preemptions[i];

		fprintf(file, "preemption,%lld,%lld,%s,%llu,",
		    (long long)p->start_ms, (long long)p->duration_ms,
		    bd_reason_name(p->reason), (unsigned long long)p->job);
		put_csv_field(file, p->name);
		fputc(',', file);
		put_csv_field(file, rp_account_name(report, p->account));
		fprintf(file, ",%u,%llu,", p->accels,
		    (unsigned long long)p->for_job);
		put_csv_field(file, rp_account_name(report, p->for_account));
		fputc('\n', file);
	}
	fputs("\nloss,time_ms,ended,reason,job,job_name,account,lost_ms,"
	      "worker\n",
	    file);
	for (i = 0; i < report->loss_count; i++) {
		const struct rp_loss *l = &report->losses[i];

		fprintf(file, "loss,%lld,%u,%s,%llu,", (long long)l->time_ms,
		    l->ended, bd_reason_name(l->reason),
		    (unsigned long long)l->job);
		put_csv_field(file, l->name);
		fputc(',', file);
		put_csv_field(file, rp_account_name(report, l->account));
		fprintf(file, ",%lld,", (long long)l->lost_ms);
		put_csv_field(file, l->worker);
		fputc('\n', file);
	}
	fputs("\nconfiguration,time_ms,version,author,bytes\n", file);
	for (i = 0; i < report->change_count; i++) {
		const struct rp_change *c = &report->changes[i];

		fprintf(file, "configuration,%lld,%llu,", (long long)c->time_ms,
		    (unsigned long long)c->version);
		put_csv_field(file, c->author);
		fprintf(file, ",%u\n", c->bytes);
	}
}

static void
put_csv(FILE *file, const struct rp_report *report)
{
	size_t i;

	fputs("period,from_ms,to_ms,covered_from_ms,records,rejected,"
	      "left_out\n",
	    file);
	fprintf(file, "period,%lld,%lld,%lld,%llu,%llu,%llu\n",
	    (long long)report->from_ms, (long long)report->to_ms,
	    (long long)report->covered_from_ms,
	    (unsigned long long)report->records,
	    (unsigned long long)report->rejected,
	    (unsigned long long)report->left_out);
	fputs("\naccount,name,promised_ms,short_ms,asked_ms,guaranteed_ms,"
	      "borrowed_ms,lost_ms,waited_ms,wait_max_ms,submitted,done,"
	      "failed,cancelled,restarts,reclaimed,requests,unanswered\n",
	    file);
	for (i = 0; i < report->account_count; i++) {
		const struct rp_account *a = &report->accounts[i];

		fputs("account,", file);
		put_csv_field(file, a->name);
		fprintf(file,
		    ",%lld,%lld,%lld,%lld,%lld,%lld,%lld,%lld,%u,%u,%u,%u,%u,"
		    "%u,%u,%u\n",
		    (long long)a->promised_ms, (long long)a->short_ms,
		    (long long)a->asked_ms, (long long)a->guaranteed_ms,
		    (long long)a->borrowed_ms, (long long)a->lost_ms,
		    (long long)a->waited_ms, (long long)a->wait_max_ms,
		    a->submitted, a->done, a->failed, a->cancelled, a->restarts,
		    a->reclaimed, a->requests, a->unanswered);
	}
	put_csv_events(file, report);
}

/* Formats the report as CSV: blocks of rows, each with its kind as the first
 * field. */
char *
rp_format_csv(const struct rp_report *report, size_t *bytes)
{
	return format(report, bytes, put_csv);
}

static void
put_plot(FILE *file, const struct rp_report *report)
{
	char from[32];
	char to[32];
	const char *at;
	size_t i;

	rp_time_format(report->from_ms, from);
	rp_time_format(report->to_ms, to);
	fputs("# gnuplot -persist -c FILE\n$accounts << EOD\n", file);
	for (i = 0; i < report->account_count; i++) {
		const struct rp_account *a = &report->accounts[i];

		/* A quote or backslash would end or alter the string. */
		fputc('"', file);
		for (at = a->name; *at != '\0'; at++)
			fputc(*at == '"' || *at == '\\' ? '_' : *at, file);
		fprintf(file, "\" %.4f %.4f %.4f %.4f %.4f %.4f\n",
		    hours(a->promised_ms), hours(a->asked_ms),
		    hours(a->guaranteed_ms), hours(a->borrowed_ms),
		    hours(a->lost_ms), hours(a->waited_ms));
	}
	fprintf(file,
	    "EOD\n"
	    "set title \"Accelerator hours from %s to %s\" noenhanced\n"
	    "set style data histograms\n"
	    "set style histogram clustered gap 1\n"
	    "set style fill solid 0.8 border -1\n"
	    "set ylabel \"accelerator hours\"\n"
	    "set y2label \"hours waited\"\n"
	    "set y2tics\nset yrange [0:*]\nset y2range [0:*]\n"
	    "set xtics rotate by -30 noenhanced\n"
	    "plot $accounts using 2:xtic(1) title \"promised\", \\\n"
	    "  '' using 3 title \"asked\", \\\n"
	    "  '' using 4 title \"guaranteed\", \\\n"
	    "  '' using 5 title \"borrowed\", \\\n"
	    "  '' using 6 title \"lost\", \\\n"
	    "  '' using 7 axes x1y2 title \"waited\"\n",
	    from, to);
}

/* Formats the report as a gnuplot script that contains its data. */
char *
rp_format_plot(const struct rp_report *report, size_t *bytes)
{
	return format(report, bytes, put_plot);
}
