#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static void emit_call_metrics(
    struct fr_front *front, struct fr_metric_out *out);
static void emit_tables(struct fr_front *front, struct fr_metric_out *out);
static void emit_events(struct fr_metric_out *out);
static void emit_vm_status(struct fr_front *front, struct fr_metric_out *out);
static void emit_account_field(struct fr_metric_out *out,
    const struct fr_account_usage *usage, size_t count, const char *name,
    const char *help, size_t offset);
static void emit_scheduling(struct fr_front *front, struct fr_metric_out *out);
static void record_job_times(const struct bd_board *board, uint64_t account,
    uint32_t class_number, bool is_wait, struct hist *hist);
static void emit_job_times(struct fr_front *front, struct fr_metric_out *out,
    const struct fr_account_usage *usage, size_t count, bool is_wait);

/* Emits one sample without labels. */
void
fr_metric_emit_value(struct fr_metric_out *out, const char *name,
    const char *help, enum fr_metric_kind kind, double value)
{
	struct fr_metric metric = {
	    .name = name, .help = help, .kind = kind, .value = value};

	out->emit(out->ctx, &metric);
}

/* Emits the responses and handler durations of the HTTP interface. */
static void
emit_call_metrics(struct fr_front *front, struct fr_metric_out *out)
{
	static const char *const kinds[] = {
	    "jobs", "config", "state", "monitor"};
	static const char *const status_classes[] = {
	    "", "1xx", "2xx", "3xx", "4xx", "5xx"};
	struct fr_metric metric = {.label_count = 2};
	size_t kind;
	size_t status_class;

	metric.name = "front_answers_total";
	metric.help = "Answers of the interface by kind of call and status.";
	metric.labels[0].name = "kind";
	metric.labels[1].name = "status";
	for (kind = 0; kind < FR_CALL_KIND_COUNT; kind++)
		for (status_class = 2; status_class < 6; status_class++) {
			metric.labels[0].value = kinds[kind];
			metric.labels[1].value = status_classes[status_class];
			metric.value = (double)atomic_load_explicit(
			    &front->counters.responses[kind][status_class],
			    memory_order_relaxed);
			out->emit(out->ctx, &metric);
		}
	metric.name = "front_handle_seconds";
	metric.help = "Time from a request read to its answer.";
	metric.kind = FR_METRIC_SUMMARY;
	metric.label_count = 1;
	metric.scale = 1e-6;
	for (kind = 0; kind < FR_CALL_KIND_COUNT; kind++) {
		metric.labels[0].value = kinds[kind];
		metric.hist = &front->counters.handler_us[kind];
		out->emit(out->ctx, &metric);
	}
}

static void
emit_tables(struct fr_front *front, struct fr_metric_out *out)
{
	struct fr_metric metric = {
	    .name = "table_rows",
	    .help = "Rows of each table.",
	    .kind = FR_METRIC_GAUGE,
	    .label_count = 1,
	};
	uint32_t table;

	metric.labels[0].name = "table";
	for (table = 0; table < BD_TABLE_COUNT; table++) {
		metric.labels[0].value = bd_table_name(table);
		metric.value = bd_row_count(front->options.board, table);
		out->emit(out->ctx, &metric);
	}
}

/* Omits events that have not occurred. */
static void
emit_events(struct fr_metric_out *out)
{
	struct fr_metric metric = {
	    .name = "events_total",
	    .help = "Log events by number; docs/events.md explains them.",
	    .label_count = 3,
	};
	char digits[12];
	uint32_t number;

	metric.labels[0].name = "number";
	metric.labels[0].value = digits;
	metric.labels[1].name = "name";
	metric.labels[2].name = "text";
	for (number = 1; number < EV_NUMBER_LIMIT; number++) {
		if (ev_text(number) == NULL || ev_count(number) == 0)
			continue;
		snprintf(digits, sizeof(digits), "%u", number);
		metric.labels[1].value = fr_event_name(number);
		metric.labels[2].value = ev_text(number);
		metric.value = (double)ev_count(number);
		out->emit(out->ctx, &metric);
	}
}

/* Emits the readiness, configuration version and log position of this VM. */
static void
emit_vm_status(struct fr_front *front, struct fr_metric_out *out)
{
	const struct fr_options *options = &front->options;
	struct fr_log_state log = {0};

	fr_metric_emit_value(out, "ready", "1 while this VM is ready for work.",
	    FR_METRIC_GAUGE, fr_is_ready(front));
	fr_metric_emit_value(out, "config_version",
	    "Version of the configuration in force here.", FR_METRIC_GAUGE,
	    (double)fr_config_version(options->board));
	if (options->events != NULL)
		fr_metric_emit_value(out, "events_left_out_total",
		    "Events that were counted but not written.",
		    FR_METRIC_COUNTER,
		    (double)fr_events_suppressed(options->events));
	if (options->hooks.log_state == NULL)
		return;
	options->hooks.log_state(options->hooks.log_state_ctx, &log);
	fr_metric_emit_value(out, "log_position",
	    "Position of the last applied record.", FR_METRIC_GAUGE,
	    (double)log.position);
	fr_metric_emit_value(out, "log_lag_seconds",
	    "Time since the end of the log was last seen.", FR_METRIC_GAUGE,
	    (double)log.lag_ms / 1000.0);
	fr_metric_emit_value(out, "log_reachable",
	    "1 while the log is within reach.", FR_METRIC_GAUGE, log.reachable);
}

/* Emits a gauge for each account; offset is that of a uint32_t in struct
 * fr_account_usage. */
static void
emit_account_field(struct fr_metric_out *out,
    const struct fr_account_usage *usage, size_t count, const char *name,
    const char *help, size_t offset)
{
	struct fr_metric metric = {.name = name,
	    .help = help,
	    .kind = FR_METRIC_GAUGE,
	    .label_count = 1};
	uint32_t value;
	size_t i;

	metric.labels[0].name = "account";
	for (i = 0; i < count; i++) {
		memcpy(&value, (const char *)&usage[i] + offset, sizeof(value));
		metric.labels[0].value = usage[i].name;
		metric.value = value;
		out->emit(out->ctx, &metric);
	}
}

/* Adds the wait times (is_wait) or the completion times, in ms, of the jobs of
 * an account and class. */
static void
record_job_times(const struct bd_board *board, uint64_t account,
    uint32_t class_number, bool is_wait, struct hist *hist)
{
	const struct bd_job *row;
	uint32_t cursor = 0;
	int64_t end_ms;
	int64_t ms;

	bd_read_begin();
	while ((row = bd_job_next(board, &cursor)) != NULL) {
		if (row->account != account ||
		    row->class_number != class_number)
			continue;
		end_ms = is_wait ? row->started_ms : row->ended_ms;
		if (end_ms == 0 || (!is_wait && row->state != BD_JOB_DONE))
			continue;
		ms = end_ms -
		    (is_wait ? row->waiting_since_ms : row->submitted_ms);
		hist_record(hist, ms < 0 ? 0 : (uint64_t)ms);
	}
	bd_read_end();
}

/* Emits the wait or completion times of the jobs in the table, by account and
 * class. As a histogram has 8 KB, one is reused for all of them. */
static void
emit_job_times(struct fr_front *front, struct fr_metric_out *out,
    const struct fr_account_usage *usage, size_t count, bool is_wait)
{
	struct hist *hist = malloc(sizeof(*hist));
	struct fr_metric metric = {.kind = FR_METRIC_SUMMARY,
	    .label_count = 2,
	    .hist = hist,
	    .scale = 1e-3};
	uint32_t class_number;
	size_t i;

	if (hist == NULL)
		return;
	metric.name = is_wait ? "job_wait_seconds" : "job_completion_seconds";
	metric.help = is_wait
	    ? "Time that the kept jobs waited before their latest start."
	    : "Time from submit to end of the kept jobs that are done.";
	metric.labels[0].name = "account";
	metric.labels[1].name = "class";
	for (i = 0; i < count; i++)
		for (class_number = 0; class_number < BD_CLASS_COUNT;
		     class_number++) {
			memset(hist, 0, sizeof(*hist));
			record_job_times(front->options.board, usage[i].id,
			    class_number, is_wait, hist);
			if (hist_count(hist) == 0)
				continue;
			metric.labels[0].value = usage[i].name;
			metric.labels[1].value = bd_class_name(class_number);
			out->emit(out->ctx, &metric);
		}
	free(hist);
}

/* Emits the scheduler's objectives and the usage and jobs of each account. */
static void
emit_scheduling(struct fr_front *front, struct fr_metric_out *out)
{
	static const struct {
		const char *name;
		const char *help;
		size_t offset;
	} fields[] = {
#define FIELD(name, help, field) \
	{name, help, offsetof(struct fr_account_usage, field)}
	    FIELD(
		"account_promised_accelerators", "Promised.", guarantee_accels),
	    FIELD("account_guaranteed_accelerators",
		"Held inside own promises.", used_guaranteed),
	    FIELD("account_borrowed_accelerators", "Held outside own promises.",
		borrowed),
	    FIELD("account_reclaimable_accelerators",
		"Borrowed from promises of other accounts.", reclaimable),
	    FIELD("account_waiting_accelerators",
		"That the waiting jobs ask for.", waiting_accels),
	    FIELD("account_waiting_jobs", "Jobs that wait.", waiting_jobs),
	    FIELD("account_running_jobs", "Jobs that hold accelerators.",
		running_jobs),
#undef FIELD
	};
	const struct bd_board *board = front->options.board;
	struct fr_account_usage *usage = NULL;
	struct fr_objectives objectives;
	struct fr_placement placement;
	size_t count = 0;
	size_t i;

	if (fr_placement_build(board, &placement) != CW_OK)
		return;
	if (fr_objectives_compute(board, &placement, &objectives) == CW_OK) {
		fr_metric_emit_value(out, "fragmentation_ratio",
		    "Share of the free accelerators on partly used workers.",
		    FR_METRIC_GAUGE, objectives.fragmentation);
		fr_metric_emit_value(out, "free_accelerators",
		    "Free accelerators on usable workers.", FR_METRIC_GAUGE,
		    objectives.free_accels);
		fr_metric_emit_value(out, "largest_free_in_rack_accelerators",
		    "Most free accelerators on whole workers of one rack.",
		    FR_METRIC_GAUGE, objectives.largest_free_in_rack);
		fr_metric_emit_value(out, "completion_mean_seconds",
		    "Mean time from submit to end of the kept jobs.",
		    FR_METRIC_GAUGE,
		    (double)objectives.completion_mean_ms / 1000.0);
	}
	if (fr_account_usage_collect(board, &placement, 0, &usage, &count) ==
	    CW_OK) {
		for (i = 0; i < sizeof(fields) / sizeof(*fields); i++)
			emit_account_field(out, usage, count, fields[i].name,
			    fields[i].help, fields[i].offset);
		emit_job_times(front, out, usage, count, true);
		emit_job_times(front, out, usage, count, false);
	}
	free(usage);
	fr_placement_free(&placement);
}

/* Emits every metric of this VM: those of the front and of the registered
 * sources. */
void
fr_metrics_collect(struct fr_front *front, struct fr_metric_out *out)
{
	size_t i;

	assert(front != NULL && out != NULL && out->emit != NULL);
	out->board = front->options.board;
	emit_vm_status(front, out);
	emit_call_metrics(front, out);
	emit_tables(front, out);
	emit_events(out);
	emit_scheduling(front, out);
	for (i = 0; i < front->options.source_count; i++)
		front->options.sources[i].collect(
		    front->options.sources[i].ctx, out);
}
