#include <stdio.h>

#include "fleet.h"
#include "front_internal.h"
#include "route.h"

/* Context of emit_hist, which emits the histograms of one kind. */
struct hist_filter {
	struct fr_metric_out *out;
	const struct rt_router *route;
	enum rt_hist_kind kind;
	struct fr_metric metric;
	char name[CW_NAME_BYTES]; /* of the account */
};

/* One sample of a counter without labels. */
struct counter_sample {
	const char *name;
	const char *help;
	uint64_t value;
};

static void emit_counters(struct fr_metric_out *out,
    const struct counter_sample *samples, size_t count);
static void emit_hist(void *ctx, uint64_t account, uint32_t class_number,
    enum rt_hist_kind kind, const struct hist *hist);
static void collect_route(void *ctx, struct fr_metric_out *out);
static void emit_by_message_kind(struct fr_metric_out *out, const char *name,
    const char *help, const uint64_t *values);
static void collect_fleet(void *ctx, struct fr_metric_out *out);
static void collect_writer(void *ctx, struct fr_metric_out *out);
static void collect_follower(void *ctx, struct fr_metric_out *out);

static void
emit_hist(void *ctx, uint64_t account, uint32_t class_number,
    enum rt_hist_kind kind, const struct hist *hist)
{
	struct hist_filter *filter = ctx;
	const struct bd_account *row;

	if (kind != filter->kind || hist_count(hist) == 0)
		return;
	bd_read_begin();
	row = bd_account_lookup(filter->out->board, account);
	snprintf(filter->name, sizeof(filter->name), "%s",
	    row == NULL ? "removed" : row->name);
	bd_read_end();
	filter->metric.labels[1].value = bd_class_name(class_number);
	filter->metric.hist = hist;
	filter->out->emit(filter->out->ctx, &filter->metric);
}

static void
collect_route(void *ctx, struct fr_metric_out *out)
{
	struct hist_filter filter = {.out = out, .route = ctx};
	struct rt_hist_reader reader = {emit_hist, &filter};
	struct fr_metric metric = {.label_count = 1};
	char name[64];
	uint32_t i;

	metric.name = "route_total";
	metric.help = "What the request path has done, by kind.";
	metric.labels[0].name = "kind";
	for (i = 0; i < RT_COUNTERS; i++) {
		metric.labels[0].value = rt_counter_name(i);
		metric.value = (double)rt_counter_read(filter.route, i);
		out->emit(out->ctx, &metric);
	}
	metric.name = "route_outcomes_total";
	metric.help = "Attempts at upstreams by outcome.";
	metric.labels[0].name = "outcome";
	for (i = 0; i < RT_OUTCOME_COUNT; i++) {
		metric.labels[0].value = rt_outcome_name(i);
		metric.value = (double)rt_outcome_read(filter.route, i);
		out->emit(out->ctx, &metric);
	}
	fr_metric_emit_value(out, "requests_in_flight",
	    "Requests that run now.", FR_METRIC_GAUGE,
	    rt_in_flight(filter.route));
	filter.metric.name = name;
	filter.metric.help = "Times of requests by account and class.";
	filter.metric.kind = FR_METRIC_SUMMARY;
	filter.metric.label_count = 2;
	filter.metric.labels[0].name = "account";
	filter.metric.labels[0].value = filter.name;
	filter.metric.labels[1].name = "class";
	filter.metric.scale = 1e-6;
	for (i = 0; i < RT_HIST_COUNT; i++) {
		filter.kind = i;
		snprintf(
		    name, sizeof(name), "request_%s_seconds", rt_hist_name(i));
		rt_hist_read(filter.route, &reader);
	}
}

/* Returns the source of the counters and latencies of the request path. */
struct fr_metric_source
fr_metric_source_route(struct rt_router *route)
{
	return (struct fr_metric_source){collect_route, route};
}

/* Emits a counter with a label for the message kind, which indexes values. */
static void
emit_by_message_kind(struct fr_metric_out *out, const char *name,
    const char *help, const uint64_t *values)
{
	struct fr_metric metric = {
	    .name = name, .help = help, .label_count = 1};
	uint32_t kind;

	metric.labels[0].name = "kind";
	for (kind = 1; kind < FL_MSG_KIND_LIMIT; kind++) {
		metric.labels[0].value = fl_msg_kind_name(kind);
		metric.value = (double)values[kind];
		out->emit(out->ctx, &metric);
	}
}

static void
collect_fleet(void *ctx, struct fr_metric_out *out)
{
	struct fl_traffic_counters counters;

	fl_traffic_read(ctx, &counters);
	emit_by_message_kind(out, "control_sent_bytes_total",
	    "Bytes sent to other entry VMs by kind of message.",
	    counters.sent_bytes);
	emit_by_message_kind(out, "control_cross_region_bytes_total",
	    "Bytes sent to entry VMs of other regions by kind of message.",
	    counters.cross_region_bytes);
	emit_by_message_kind(out, "control_received_bytes_total",
	    "Bytes received from other entry VMs by kind of message.",
	    counters.received_bytes);
	emit_by_message_kind(out, "control_sent_messages_total",
	    "Messages sent to other entry VMs by kind.",
	    counters.sent_messages);
	const struct counter_sample samples[] = {
	    {"control_unsent_total", "Messages that could not be sent.",
		counters.send_failures},
	    {"control_malformed_total", "Messages that could not be read.",
		counters.malformed},
	};
	emit_counters(out, samples, sizeof(samples) / sizeof(*samples));
}

/* Returns the source of the control traffic between entry VMs. */
struct fr_metric_source
fr_metric_source_fleet(struct fl_fleet *fleet)
{
	return (struct fr_metric_source){collect_fleet, fleet};
}

static void
emit_counters(struct fr_metric_out *out, const struct counter_sample *samples,
    size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		fr_metric_emit_value(out, samples[i].name, samples[i].help,
		    FR_METRIC_COUNTER, (double)samples[i].value);
}

static void
collect_writer(void *ctx, struct fr_metric_out *out)
{
	struct st_writer_status status;

	st_writer_status_get(ctx, &status);
	const struct counter_sample samples[] = {
	    {"log_records_total", "Records proposed here.", status.records},
	    {"log_appends_total", "Batches appended here.", status.batches},
	    {"log_repeats_total", "Appends repeated for want of an answer.",
		status.append_retries},
	    {"log_unavailable_total", "Records told to be without effect.",
		status.unavailable},
	    {"log_unknown_total", "Records whose effect was not known in time.",
		status.unknown},
	};
	emit_counters(out, samples, sizeof(samples) / sizeof(*samples));
	fr_metric_emit_value(out, "log_pending",
	    "Records that wait for their outcome.", FR_METRIC_GAUGE,
	    status.pending);
}

/* Returns the source of the counters of records that this VM proposes. */
struct fr_metric_source
fr_metric_source_writer(struct st_writer *writer)
{
	return (struct fr_metric_source){collect_writer, writer};
}

static void
collect_follower(void *ctx, struct fr_metric_out *out)
{
	struct st_follower_status status;

	st_follower_status_get(ctx, &status);
	const struct counter_sample samples[] = {
	    {"log_malformed_total", "Records that could not be read.",
		status.malformed},
	    {"log_unknown_kinds_total", "Records of newer kinds.",
		status.unknown_kinds},
	    {"state_rebuilds_total", "Rebuilds of the tables.",
		status.rebuilds},
	};
	emit_counters(out, samples, sizeof(samples) / sizeof(*samples));
	fr_metric_emit_value(out, "log_tail_bytes",
	    "Bytes applied since the last snapshot known.", FR_METRIC_GAUGE,
	    (double)status.bytes_since_snapshot);
}

/* Returns the source of the counters of records that this VM applies. */
struct fr_metric_source
fr_metric_source_follower(struct st_follower *follower)
{
	return (struct fr_metric_source){collect_follower, follower};
}
