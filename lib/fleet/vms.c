#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define FL_VMS_MAX 8192
#define FL_VMS_BACKOFF_MAX_MS 60000

static int add_vm(void *ctx, const struct pf_vm *vm);
static void copy_vm(struct bd_vm *row, const struct pf_vm *vm);
static bool is_listed(const struct fl_vms *vms, uint64_t id);
static int compare_vms(const void *a, const void *b);
static int put_listed(struct fl_vms *vms, int64_t now_ms);
static bool loss_is_recorded(const struct bd_board *board, uint64_t vm);
static int retire_unlisted(struct fl_vms *vms, int64_t now_ms);

/* Initialises the controller; the board must outlive it. Returns CW_OK or
 * FL_ENOMEM. */
int
fl_vms_init(
    struct fl_vms *vms, struct bd_board *board, const struct pf_vm_list *list)
{
	memset(vms, 0, sizeof(*vms));
	vms->board = board;
	vms->list = *list;
	vms->rows = calloc(FL_VMS_MAX, sizeof(*vms->rows));
	return vms->rows == NULL ? FL_ENOMEM : CW_OK;
}

/* Frees the rows of the latest list. */
void
fl_vms_free(struct fl_vms *vms)
{
	free(vms->rows);
	vms->rows = NULL;
}

static int
add_vm(void *ctx, const struct pf_vm *vm)
{
	struct fl_vms *vms = ctx;

	if (vms->count == FL_VMS_MAX) {
		vms->overflow = true;
		return FL_ETOOLARGE;
	}
	vms->rows[vms->count++] = *vm;
	return CW_OK;
}

static void
copy_vm(struct bd_vm *row, const struct pf_vm *vm)
{
	memset(row, 0, sizeof(*row));
	row->id = vm->id;
	cw_name_copy(row->name, sizeof(row->name), vm->name);
	cw_name_copy(row->address, sizeof(row->address), vm->address);
	cw_name_copy(row->region, sizeof(row->region), vm->region);
	cw_name_copy(row->zone, sizeof(row->zone), vm->zone);
	cw_name_copy(row->rack, sizeof(row->rack), vm->rack);
	row->kind = vm->kind;
	row->state = vm->state == PF_VM_LEAVING ? BD_VM_LEAVING : BD_VM_LIVE;
	row->was_leaving = vm->state == PF_VM_LEAVING;
	row->cores_milli = vm->cores_milli;
	row->memory_mb = vm->memory_mb;
	row->accels = vm->accels;
}

static int
compare_vms(const void *a, const void *b)
{
	uint64_t left = ((const struct pf_vm *)a)->id;
	uint64_t right = ((const struct pf_vm *)b)->id;

	return (left > right) - (left < right);
}

static bool
is_listed(const struct fl_vms *vms, uint64_t id)
{
	struct pf_vm key = {.id = id};

	return bsearch(&key, vms->rows, vms->count, sizeof(key), compare_vms) !=
	    NULL;
}

/* Writes the listed VMs whose rows differ. Returns the number of rows written,
 * or an error of the board. */
static int
put_listed(struct fl_vms *vms, int64_t now_ms)
{
	int changes = 0;
	uint32_t i;

	for (i = 0; i < vms->count; i++) {
		const struct bd_vm *existing;
		struct bd_vm row;
		bool same;
		int code;

		copy_vm(&row, &vms->rows[i]);
		bd_read_begin();
		existing = bd_vm_lookup(vms->board, row.id);
		if (existing != NULL)
			row.changed_ms = existing->changed_ms;
		same = existing != NULL &&
		    memcmp(existing, &row, sizeof(row)) == 0;
		bd_read_end();
		if (same)
			continue;
		row.changed_ms = now_ms;
		code = bd_put(vms->board, BD_TABLE_vm, BD_WRITER_VM_LIST,
		    row.id, &row, sizeof(row), NULL);
		if (cw_is_error(code))
			return code;
		changes++;
	}
	return changes;
}

/* Returns whether a worker's loss is recorded, or the VM is no worker. */
static bool
loss_is_recorded(const struct bd_board *board, uint64_t vm)
{
	const struct bd_worker *worker = bd_worker_lookup(board, vm);

	return worker == NULL || worker->state == BD_WORKER_LOST;
}

/* Marks rows that are no longer listed as gone and removes them after
 * FL_VMS_GONE_RETENTION_MS, those of workers not before their loss is recorded.
 * Returns the number of rows marked. */
static int
retire_unlisted(struct fl_vms *vms, int64_t now_ms)
{
	const struct bd_vm *existing;
	uint32_t cursor = 0;
	int changes = 0;

	bd_read_begin();
	while ((existing = bd_vm_next(vms->board, &cursor)) != NULL) {
		struct bd_vm row = *existing;

		if (is_listed(vms, row.id))
			continue;
		if (row.state != BD_VM_GONE) {
			row.state = BD_VM_GONE;
			row.changed_ms = now_ms;
			if (bd_put(vms->board, BD_TABLE_vm, BD_WRITER_VM_LIST,
				row.id, &row, sizeof(row), NULL) == CW_OK)
				changes++;
		} else if (now_ms - row.changed_ms > FL_VMS_GONE_RETENTION_MS &&
		    loss_is_recorded(vms->board, row.id)) {
			bd_remove(
			    vms->board, BD_TABLE_vm, BD_WRITER_VM_LIST, row.id);
		}
	}
	bd_read_end();
	return changes;
}

/*
 * Copies the platform's list into table vm; only changed rows are written, and
 * a list that could not be read completely changes nothing. Returns the time
 * (ms) of the next poll: poll_ms later, and up to 60 s after failures.
 */
int64_t
fl_vms_poll(struct fl_vms *vms, int64_t poll_ms, int64_t now_ms)
{
	struct pf_vm_sink sink = {add_vm, vms};
	uint32_t known = vms->count;
	int changes;
	int code;

	assert(poll_ms > 0);
	vms->count = 0;
	vms->overflow = false;
	code = vms->list.list(vms->list.ctx, &vms->list_version, &sink);
	if (code == PF_UNCHANGED)
		vms->count = known;
	if (vms->overflow)
		code = FL_ETOOLARGE;
	if (cw_is_error(code)) {
		/* The rows may be an incomplete list. */
		vms->list_version = 0;
		ev_emit(EV_VM_LIST_FAILED, "code=%d failures=%u", code,
		    vms->failures);
		if (vms->failures < 4)
			vms->failures++;
		poll_ms <<= vms->failures;
		return now_ms +
		    (poll_ms < FL_VMS_BACKOFF_MAX_MS ? poll_ms
						     : FL_VMS_BACKOFF_MAX_MS);
	}
	vms->failures = 0;
	vms->listed = true;
	qsort(vms->rows, vms->count, sizeof(*vms->rows), compare_vms);
	changes = put_listed(vms, now_ms);
	if (changes >= 0)
		changes += retire_unlisted(vms, now_ms);
	else
		vms->list_version = 0;
	if (changes > 0)
		bd_notify(vms->board);
	return now_ms + poll_ms;
}
