#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

/* Output and input of the functions that write the page. */
struct page {
	FILE *file;
	struct fr_front *front;
	struct fr_placement placement;
	struct fr_account_usage *usage;
	size_t usage_count;
	struct fr_objectives objectives;
};

static void put_escaped(FILE *file, const char *text);
static void put_duration(FILE *file, int64_t ms);
static void put_style(FILE *file, const struct page *page);
static void put_summary(const struct page *page);
static void put_accounts(const struct page *page);
static int account_index(const struct page *page, uint64_t id);
static void put_worker(
    const struct page *page, const struct fr_worker_placement *worker);
static void put_racks(const struct page *page);
static void put_members(const struct page *page);
static void put_upstreams(const struct page *page);

/* Writes text with HTML escaping. */
static void
put_escaped(FILE *file, const char *text)
{
	for (; *text != '\0'; text++)
		switch (*text) {
		case '<':
			fputs("&lt;", file);
			break;
		case '>':
			fputs("&gt;", file);
			break;
		case '&':
			fputs("&amp;", file);
			break;
		case '"':
			fputs("&quot;", file);
			break;
		default:
			fputc(*text, file);
		}
}

static void
put_duration(FILE *file, int64_t ms)
{
	if (ms < 60000)
		fprintf(file, "%.1f s", (double)ms / 1000.0);
	else if (ms < 3600000)
		fprintf(file, "%.1f min", (double)ms / 60000.0);
	else
		fprintf(file, "%.1f h", (double)ms / 3600000.0);
}

/* Gives each account a hue; steps by the golden angle (137 degrees) make those
 * of successive accounts distinct. */
static void
put_style(FILE *file, const struct page *page)
{
	size_t i;

	fputs("<style>body{font:14px sans-serif;margin:1em}"
	      "table{border-collapse:collapse}td,th{padding:2px 8px;"
	      "border-bottom:1px solid #ccc;text-align:right}"
	      "td:first-child,th:first-child{text-align:left}"
	      ".rack{display:inline-block;vertical-align:top;margin:4px;"
	      "padding:4px;border:1px solid #999}"
	      ".w{white-space:nowrap;line-height:12px}"
	      ".w.off{opacity:.35}"
	      "i{display:inline-block;width:10px;height:10px;margin:1px;"
	      "background:#eee;border:1px solid #eee}"
	      "i.p{border-color:#555}i.g{border-radius:5px}",
	    file);
	for (i = 0; i < page->usage_count; i++)
		fprintf(file, "i.a%zu{background:hsl(%d,65%%,50%%)}", i,
		    (int)(i * 137 % 360));
	fputs("</style>", file);
}

static void
put_summary(const struct page *page)
{
	const struct fr_objectives *objectives = &page->objectives;
	FILE *file = page->file;

	fputs("<h1>", file);
	put_escaped(file, page->front->options.vm);
	fprintf(file,
	    "</h1><p>%s, configuration version %llu</p><p>Completion time: "
	    "mean ",
	    fr_is_ready(page->front) ? "ready" : "not ready",
	    (unsigned long long)fr_config_version(page->front->options.board));
	put_duration(file, objectives->completion_mean_ms);
	fputs(", median ", file);
	put_duration(file, objectives->completion_p50_ms);
	fputs(", 99% within ", file);
	put_duration(file, objectives->completion_p99_ms);
	fprintf(file,
	    " (%u jobs). Fragmentation: %.1f%% of %u free accelerators; the "
	    "largest gang beside each other in one rack is %u.</p>",
	    objectives->done_jobs, objectives->fragmentation * 100.0,
	    objectives->free_accels, objectives->largest_free_in_rack);
}

static void
put_accounts(const struct page *page)
{
	FILE *file = page->file;
	size_t i;

	fputs("<h2>Accounts (accelerators)</h2><table><tr><th>account"
	      "<th>promised<th>guaranteed<th>borrowed<th>reclaimable"
	      "<th>quota<th>jobs running<th>jobs waiting<th>waiting<th>short",
	    file);
	for (i = 0; i < page->usage_count; i++) {
		const struct fr_account_usage *usage_row = &page->usage[i];

		fprintf(file, "<tr><td><i class=a%zu></i> ", i);
		put_escaped(file, usage_row->name);
		fprintf(file,
		    "<td>%u<td>%u<td>%u<td>%u<td>%u<td>%u<td>%u<td>%u<td>%s",
		    usage_row->guarantee_accels, usage_row->used_guaranteed,
		    usage_row->borrowed, usage_row->reclaimable,
		    usage_row->quota, usage_row->running_jobs,
		    usage_row->waiting_jobs, usage_row->waiting_accels,
		    usage_row->short_since_ms != 0 ? "yes" : "");
	}
	fputs("</table>", file);
}

/* Returns the index of an account in page->usage, -1 for none. */
static int
account_index(const struct page *page, uint64_t id)
{
	size_t i;

	for (i = 0; i < page->usage_count; i++)
		if (page->usage[i].id == id)
			return (int)i;
	return -1;
}

static void
put_worker(const struct page *page, const struct fr_worker_placement *worker)
{
	FILE *file = page->file;
	uint32_t accel;
	bool out_of_service = worker->row.state != BD_WORKER_UP ||
	    worker->row.quarantine_until_ms != 0;

	fprintf(
	    file, "<div class=\"w%s\" title=\"", out_of_service ? " off" : "");
	put_escaped(file, worker->row.name);
	fputs("\">", file);
	for (accel = 0;
	     accel < worker->row.accels && accel < BD_WORKER_ACCELS_MAX;
	     accel++) {
		const struct fr_accel_state *accel_state =
		    &worker->accels[accel];
		int account = account_index(page, accel_state->account);

		fputs("<i class=\"", file);
		if (account >= 0)
			fprintf(file, "a%d", account);
		fprintf(file, "%s%s\"></i>",
		    accel_state->reserved_for != 0 ? " p" : "",
		    accel_state->guaranteed ? " g" : "");
	}
	fputs("</div>", file);
}

/* Groups the workers by rack; they are sorted by zone and rack. */
static void
put_racks(const struct page *page)
{
	FILE *file = page->file;
	uint64_t rack = 0;
	size_t i;

	fputs("<h2>Racks</h2><p>A cell is an accelerator, its colour the "
	      "account; round: guaranteed; bordered: promised to an account; "
	      "faint: not in service.</p>",
	    file);
	for (i = 0; i < page->placement.count; i++) {
		const struct bd_worker *row = &page->placement.workers[i].row;

		if (i == 0 || row->rack != rack) {
			fputs(i == 0 ? "<div class=rack>"
				     : "</div><div class=rack>",
			    file);
			put_escaped(file, row->zone_name);
			fputs(" ", file);
			put_escaped(file, row->rack_name);
		}
		rack = row->rack;
		put_worker(page, &page->placement.workers[i]);
	}
	if (page->placement.count > 0)
		fputs("</div>", file);
}

static void
put_members(const struct page *page)
{
	static const char *const states[] = {
	    "alive", "suspect", "dead", "leaving"};
	const struct bd_member *row;
	FILE *file = page->file;
	uint32_t cursor = 0;

	fputs("<h2>Members</h2><table><tr><th>name<th>state<th>position"
	      "<th>configuration",
	    file);
	bd_read_begin();
	while ((row = bd_member_next(page->front->options.board, &cursor)) !=
	    NULL) {
		fputs("<tr><td>", file);
		put_escaped(file, row->name);
		fprintf(file, "<td>%s<td>%llu<td>%llu",
		    row->state <= BD_MEMBER_LEAVING ? states[row->state] : "",
		    (unsigned long long)row->position,
		    (unsigned long long)row->config_version);
	}
	bd_read_end();
	fputs("</table>", file);
}

/* Counts the upstreams of each service by health state. */
static void
put_upstreams(const struct page *page)
{
	const struct bd_board *board = page->front->options.board;
	const struct bd_service *service;
	FILE *file = page->file;
	uint32_t cursor = 0;

	fputs("<h2>Upstreams</h2><table><tr><th>service<th>up<th>ejected"
	      "<th>probing<th>slow start<th>leaving",
	    file);
	bd_read_begin();
	while ((service = bd_service_next(board, &cursor)) != NULL) {
		uint32_t counts[BD_HEALTH_LEAVING + 1] = {0};
		const struct bd_health *health;
		const struct bd_runner *row;
		uint32_t runner_cursor = 0;
		uint32_t state;

		while ((row = bd_runner_next(board, &runner_cursor)) != NULL) {
			if (row->service != service->id)
				continue;
			health = bd_health_lookup(board, row->id);
			state = health == NULL ? BD_HEALTH_UP : health->state;
			if (row->leaving)
				state = BD_HEALTH_LEAVING;
			if (state <= BD_HEALTH_LEAVING)
				counts[state]++;
		}
		fputs("<tr><td>", file);
		put_escaped(file, service->name);
		for (state = 0; state <= BD_HEALTH_LEAVING; state++)
			fprintf(file, "<td>%u", counts[state]);
	}
	bd_read_end();
	fputs("</table>", file);
}

/* Returns the status page of this VM: one HTML document without scripts or
 * external resources. The caller frees it; NULL if memory is exhausted. */
char *
fr_status_page(struct fr_front *front, size_t *bytes)
{
	const struct bd_board *board = front->options.board;
	struct page page = {.front = front};
	char *text = NULL;

	assert(bytes != NULL);
	page.file = open_memstream(&text, bytes);
	if (page.file == NULL)
		return NULL;
	if (fr_placement_build(board, &page.placement) == CW_OK &&
	    fr_account_usage_collect(board, &page.placement, 0, &page.usage,
		&page.usage_count) == CW_OK &&
	    fr_objectives_compute(board, &page.placement, &page.objectives) ==
		CW_OK) {
		fputs("<!DOCTYPE html><html lang=en><meta charset=utf-8>"
		      "<meta http-equiv=refresh content=5>"
		      "<title>camphorworks</title>",
		    page.file);
		put_style(page.file, &page);
		put_summary(&page);
		put_accounts(&page);
		put_racks(&page);
		put_members(&page);
		put_upstreams(&page);
		fputs("</html>\n", page.file);
	}
	free(page.usage);
	fr_placement_free(&page.placement);
	if (fclose(page.file) != 0 || *bytes == 0) {
		free(text);
		return NULL;
	}
	return text;
}
