#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

#define PREFIX "camphor_"

static const double quantiles[] = {0.5, 0.9, 0.99};

#define QUANTILE_COUNT (sizeof(quantiles) / sizeof(*quantiles))

struct text_out {
	FILE *file;
	char last_name[64]; /* of the previous sample */
};

static const char *type_name(enum fr_metric_kind kind);
static double metric_scale(const struct fr_metric *metric);
static void write_labels(
    FILE *file, const struct fr_metric *metric, const char *quantile);
static void emit_text(void *ctx, const struct fr_metric *metric);
static json_t *labels_to_json(const struct fr_metric *metric);
static void emit_json(void *ctx, const struct fr_metric *metric);

static const char *
type_name(enum fr_metric_kind kind)
{
	static const char *const names[] = {"counter", "gauge", "summary"};

	return names[kind];
}

static double
metric_scale(const struct fr_metric *metric)
{
	return metric->scale == 0 ? 1.0 : metric->scale;
}

/* Writes the labels in braces, with a quantile unless it is NULL. Values are
 * escaped as the text format requires. */
static void
write_labels(FILE *file, const struct fr_metric *metric, const char *quantile)
{
	const char *separator = "{";
	const char *c;
	uint32_t i;

	for (i = 0; i < metric->label_count; i++) {
		fprintf(file, "%s%s=\"", separator, metric->labels[i].name);
		for (c = metric->labels[i].value; *c != '\0'; c++) {
			if (*c == '\\' || *c == '"')
				fputc('\\', file);
			if (*c == '\n')
				fputs("\\n", file);
			else
				fputc(*c, file);
		}
		fputc('"', file);
		separator = ",";
	}
	if (quantile != NULL) {
		fprintf(file, "%squantile=\"%s\"", separator, quantile);
		separator = ",";
	}
	if (*separator == ',')
		fputc('}', file);
}

/* Writes HELP and TYPE before the first of successive samples of one name. */
static void
emit_text(void *ctx, const struct fr_metric *metric)
{
	struct text_out *out = ctx;
	char quantile[16];
	size_t i;

	if (strcmp(out->last_name, metric->name) != 0) {
		fprintf(out->file, "# HELP " PREFIX "%s %s\n", metric->name,
		    metric->help);
		fprintf(out->file, "# TYPE " PREFIX "%s %s\n", metric->name,
		    type_name(metric->kind));
		snprintf(
		    out->last_name, sizeof(out->last_name), "%s", metric->name);
	}
	if (metric->kind != FR_METRIC_SUMMARY) {
		fprintf(out->file, PREFIX "%s", metric->name);
		write_labels(out->file, metric, NULL);
		fprintf(out->file, " %.15g\n", metric->value);
		return;
	}
	for (i = 0; i < QUANTILE_COUNT; i++) {
		snprintf(quantile, sizeof(quantile), "%g", quantiles[i]);
		fprintf(out->file, PREFIX "%s", metric->name);
		write_labels(out->file, metric, quantile);
		fprintf(out->file, " %.9g\n",
		    (double)hist_quantile(metric->hist, quantiles[i]) *
			metric_scale(metric));
	}
	fprintf(out->file, PREFIX "%s_sum", metric->name);
	write_labels(out->file, metric, NULL);
	fprintf(out->file, " %.9g\n",
	    hist_mean(metric->hist) * (double)hist_count(metric->hist) *
		metric_scale(metric));
	fprintf(out->file, PREFIX "%s_count", metric->name);
	write_labels(out->file, metric, NULL);
	fprintf(
	    out->file, " %llu\n", (unsigned long long)hist_count(metric->hist));
}

/* Returns all metrics in the Prometheus text format, version 0.0.4. */
char *
fr_metrics_text(struct fr_front *front, size_t *bytes)
{
	struct text_out out = {0};
	struct fr_metric_out metrics = {emit_text, &out, NULL};
	char *text = NULL;

	assert(bytes != NULL);
	out.file = open_memstream(&text, bytes);
	if (out.file == NULL)
		return NULL;
	fr_metrics_collect(front, &metrics);
	if (fclose(out.file) != 0) {
		free(text);
		return NULL;
	}
	return text;
}

static json_t *
labels_to_json(const struct fr_metric *metric)
{
	json_t *labels = json_object();
	uint32_t i;

	for (i = 0; i < metric->label_count; i++)
		json_object_set_new(labels, metric->labels[i].name,
		    fr_json_utf8(metric->labels[i].value));
	return labels;
}

static void
emit_json(void *ctx, const struct fr_metric *metric)
{
	json_t *root = ctx;
	json_t *family = json_object_get(root, metric->name);
	json_t *sample = json_pack("{so}", "labels", labels_to_json(metric));

	if (family == NULL) {
		json_object_set_new(root, metric->name,
		    json_pack("{ss ss s[]}", "help", metric->help, "type",
			type_name(metric->kind), "samples"));
		family = json_object_get(root, metric->name);
	}
	if (metric->kind == FR_METRIC_SUMMARY) {
		const struct hist *hist = metric->hist;
		double scale = metric_scale(metric);

		json_object_update_new(sample,
		    json_pack("{sI sf sf sf sf}", "count",
			(json_int_t)hist_count(hist), "mean",
			hist_mean(hist) * scale, "p50",
			(double)hist_quantile(hist, 0.5) * scale, "p90",
			(double)hist_quantile(hist, 0.9) * scale, "p99",
			(double)hist_quantile(hist, 0.99) * scale));
	} else {
		json_object_set_new(sample, "value", json_real(metric->value));
	}
	json_array_append_new(json_object_get(family, "samples"), sample);
}

/* Returns all metrics as one JSON object with a member for each name. */
char *
fr_metrics_json(struct fr_front *front, size_t *bytes)
{
	json_t *root = json_object();
	struct fr_metric_out metrics = {emit_json, root, NULL};
	char *text;

	assert(bytes != NULL);
	fr_metrics_collect(front, &metrics);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	*bytes = text == NULL ? 0 : strlen(text);
	return text;
}
