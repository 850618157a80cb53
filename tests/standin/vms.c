#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define VMS_MAX 4096

struct vm {
	char name[CW_NAME_BYTES];
	char address[CW_NAME_BYTES];
	char region[24];
	char zone[24];
	char rack[24];
	char kind[8];
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accels;
	int64_t listed_ms;  /* when the list shows it */
	int64_t leaving_ms; /* when the list shows that, 0: not leaving */
	int64_t gone_ms;    /* when the list drops it, 0: never */
};

static struct vm vms[VMS_MAX];
static size_t vm_count;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

static struct vm *find(const char *name);
static void place(struct vm *vm, const struct si_zone *zone);
static int list(const struct si_request *request);
static int put(const struct si_request *request, const char *name);

/* Finds a VM, or an unused row with that name; NULL where the list is full or
 * the name too long. The caller holds the mutex. */
static struct vm *
find(const char *name)
{
	struct vm fresh = {0};
	size_t i;

	for (i = 0; i < vm_count; i++)
		if (strcmp(vms[i].name, name) == 0)
			return &vms[i];
	if (vm_count == VMS_MAX ||
	    cw_name_copy(fresh.name, sizeof(fresh.name), name) != CW_OK)
		return NULL;
	vms[vm_count] = fresh;
	return &vms[vm_count++];
}

static void
place(struct vm *vm, const struct si_zone *zone)
{
	snprintf(vm->region, sizeof(vm->region), "%s", zone->region);
	snprintf(vm->zone, sizeof(vm->zone), "%s", zone->zone);
}

/* Lists the workers and the runners; racks and runners go round the zones. */
int
si_vms_create(void)
{
	const struct si_settings *set = &si_settings;
	char name[CW_NAME_BYTES];
	struct vm *vm;
	uint32_t i;

	for (i = 0; i < set->workers; i++) {
		uint32_t rack = i / set->rack_size;

		si_worker_name(i, name, sizeof(name));
		vm = find(name);
		if (vm == NULL)
			return CW_ERANGE;
		place(vm, &set->zones[rack % set->zone_count]);
		snprintf(vm->rack, sizeof(vm->rack), "rack-%u", rack);
		snprintf(vm->kind, sizeof(vm->kind), "worker");
		vm->cores_milli = set->cores * 1000;
		vm->memory_mb = set->memory_mb;
		vm->accels = i < set->accel_workers ? set->accels : 0;
	}
	for (i = 0; i < set->runners; i++) {
		snprintf(name, sizeof(name), "runner-%u", i);
		vm = find(name);
		if (vm == NULL)
			return CW_ERANGE;
		place(vm, &set->zones[i % set->zone_count]);
		snprintf(vm->address, sizeof(vm->address), "%s:%d", set->ip,
		    set->runner_port + (int)i);
		snprintf(vm->kind, sizeof(vm->kind), "runner");
	}
	return CW_OK;
}

/* The version is a hash of the list, so that it needs no place of its own and
 * differs after a restart only where the list does. */
static int
list(const struct si_request *request)
{
	int64_t now_ms = cw_clock_mono_ms(), version;
	json_t *array = json_array();
	char *text;
	size_t i;

	pthread_mutex_lock(&mutex);
	for (i = 0; i < vm_count; i++) {
		const struct vm *vm = &vms[i];
		bool leaving = vm->leaving_ms != 0 && vm->leaving_ms <= now_ms;

		if (vm->listed_ms > now_ms ||
		    (vm->gone_ms != 0 && vm->gone_ms <= now_ms))
			continue;
		json_array_append_new(array,
		    json_pack("{s:s s:s s:s s:s s:s s:s s:s s:i s:i s:i}",
			"name", vm->name, "address", vm->address, "region",
			vm->region, "zone", vm->zone, "rack", vm->rack, "kind",
			vm->kind, "state", leaving ? "leaving" : "live",
			"cores_milli", (int)vm->cores_milli, "memory_mb",
			(int)vm->memory_mb, "accels", (int)vm->accels));
	}
	pthread_mutex_unlock(&mutex);
	text = json_dumps(array, JSON_COMPACT);
	version = text == NULL
	    ? 0
	    : (int64_t)(cw_hash(text, strlen(text), 0) >> 1) | 1;
	free(text);
	if (version != 0 &&
	    si_query_number(request->info, "since", 0) == version) {
		json_decref(array);
		mg_printf(request->conn, "HTTP/1.1 304 Not Modified\r\n\r\n");
		return 304;
	}
	return si_answer_json(request->conn, 200,
	    json_pack(
		"{s:o s:I}", "vms", array, "version", (json_int_t)version));
}

/* An entry VM registers, or says that it leaves or is gone. */
static int
put(const struct si_request *request, const char *name)
{
	int64_t shown_ms = cw_clock_mono_ms() + si_settings.vm_lag_ms;
	const char *address = "", *region = "", *zone = "", *state = "live";
	json_t *json = json_loadb(request->body, request->body_bytes, 0, NULL);
	struct vm *vm = NULL;

	pthread_mutex_lock(&mutex);
	if (json != NULL &&
	    json_unpack(json, "{s?s s?s s?s s?s}", "address", &address,
		"region", &region, "zone", &zone, "state", &state) == 0)
		vm = find(name);
	if (vm != NULL && strcmp(state, "live") == 0) {
		snprintf(vm->address, sizeof(vm->address), "%s", address);
		snprintf(vm->region, sizeof(vm->region), "%s", region);
		snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
		snprintf(vm->kind, sizeof(vm->kind), "entry");
		vm->listed_ms = shown_ms;
		vm->leaving_ms = vm->gone_ms = 0;
	} else if (vm != NULL && strcmp(state, "leaving") == 0) {
		vm->leaving_ms = shown_ms;
	} else if (vm != NULL) {
		vm->gone_ms = shown_ms;
	}
	pthread_mutex_unlock(&mutex);
	json_decref(json);
	if (vm == NULL)
		return si_answer_error(request->conn, 400, "VM is not valid");
	return si_answer_json(request->conn, 200, json_pack("{s:b}", "ok", 1));
}

/* Marks a VM as leaving from now on; the list shows it after the lag. */
int
si_vms_leave(const char *name)
{
	int code = CW_EINVAL;
	size_t i;

	pthread_mutex_lock(&mutex);
	for (i = 0; i < vm_count; i++)
		if (strcmp(vms[i].name, name) == 0) {
			vms[i].leaving_ms =
			    cw_clock_mono_ms() + si_settings.vm_lag_ms;
			code = CW_OK;
		}
	pthread_mutex_unlock(&mutex);
	return code;
}

/* GET /vms and PUT /vms/{name}. */
int
si_vms_handle(const struct si_request *request)
{
	const char *name = request->info->local_uri + strlen("/vms");

	if (si_method_is(request->info, "PUT") && *name == '/')
		return put(request, name + 1);
	return list(request);
}
