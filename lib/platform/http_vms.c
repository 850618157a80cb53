#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform_internal.h"

static const char *name_of(const json_t *item);
static bool decode_vm(json_t *item, struct pf_vm *vm);
static int list_vms(
    void *ctx, uint64_t *version, const struct pf_vm_sink *sink);
static int announce(void *ctx, const struct pf_vm *self);

static const char *const kind_names[] = {
    [PF_VM_ENTRY] = "entry",
    [PF_VM_WORKER] = "worker",
    [PF_VM_UPSTREAM] = "runner",
};
#define KIND_COUNT (sizeof(kind_names) / sizeof(*kind_names))

/* Returns the name in an entry of the list, "?" if it has none. */
static const char *
name_of(const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));

	return name != NULL ? name : "?";
}

/* Decodes one VM. Returns false if a field is missing, too long or out of
 * range. */
static bool
decode_vm(json_t *item, struct pf_vm *vm)
{
	const char *name, *address, *region, *zone, *rack, *kind, *state;
	json_int_t cores, memory, accels;
	uint32_t i;

	memset(vm, 0, sizeof(*vm));
	if (json_unpack(item, "{s:s s:s s:s s:s s:s s:s s:s s:I s:I s:I}",
		"name", &name, "address", &address, "region", &region, "zone",
		&zone, "rack", &rack, "kind", &kind, "state", &state,
		"cores_milli", &cores, "memory_mb", &memory, "accels",
		&accels) != 0)
		return false;
	if (cw_name_copy(vm->name, sizeof(vm->name), name) != CW_OK ||
	    cw_name_copy(vm->address, sizeof(vm->address), address) != CW_OK ||
	    cw_name_copy(vm->region, sizeof(vm->region), region) != CW_OK ||
	    cw_name_copy(vm->zone, sizeof(vm->zone), zone) != CW_OK ||
	    cw_name_copy(vm->rack, sizeof(vm->rack), rack) != CW_OK)
		return false;
	if (*name == '\0' || cores < 0 || cores > UINT32_MAX || memory < 0 ||
	    memory > UINT32_MAX || accels < 0 || accels > UINT32_MAX)
		return false;
	vm->id = cw_id_from_name(name);
	vm->cores_milli = (uint32_t)cores;
	vm->memory_mb = (uint32_t)memory;
	vm->accels = (uint32_t)accels;
	vm->state = strcmp(state, "leaving") == 0 ? PF_VM_LEAVING : PF_VM_LIVE;
	for (i = 0; i < KIND_COUNT; i++)
		if (strcmp(kind, kind_names[i]) == 0) {
			vm->kind = i;
			return true;
		}
	return false;
}

/* Delivers the VMs of a list. Each VM announces itself, so an entry that cannot
 * be decoded names no VM; it is logged and left out, and the others hold. */
static int
list_vms(void *ctx, uint64_t *version, const struct pf_vm_sink *sink)
{
	char path[64];
	struct pf_http_call call = {.kind = PF_TRAFFIC_VMS,
	    .method = "GET",
	    .path = path,
	    .may_be_unchanged = *version != 0};
	struct pf_vm vm;
	json_t *json, *vms, *item;
	json_int_t listed_version;
	size_t i;
	int code;

	if (*version == 0)
		snprintf(path, sizeof(path), "/vms");
	else
		snprintf(path, sizeof(path), "/vms?since=%" PRIu64, *version);
	code = pf_http_call_json(ctx, &call, &json);
	if (code != CW_OK)
		return code;
	listed_version = json_integer_value(json_object_get(json, "version"));
	*version = listed_version > 0 ? (uint64_t)listed_version : 0;
	vms = json_object_get(json, "vms");
	if (!json_is_array(vms))
		code = PF_EMALFORMED;
	if (code != CW_OK)
		cw_error_set(code, "VM list cannot be read");
	for (i = 0; code == CW_OK && i < json_array_size(vms); i++) {
		item = json_array_get(vms, i);
		if (decode_vm(item, &vm))
			code = sink->vm(sink->ctx, &vm);
		else
			ev_emit(EV_PLATFORM_BAD_ANSWER, "path=%s vm=%.64s",
			    path, name_of(item));
	}
	json_decref(json);
	return code;
}

static int
announce(void *ctx, const struct pf_vm *self)
{
	char path[64 + CW_NAME_BYTES];
	struct pf_http_call call = {.kind = PF_TRAFFIC_VMS,
	    .method = "PUT",
	    .path = path,
	    .is_change = true};
	json_t *body = json_pack("{s:s s:s s:s s:s}", "address", self->address,
	    "region", self->region, "zone", self->zone, "state",
	    self->state == PF_VM_LEAVING ? "leaving" : "live");
	char *text = json_dumps(body, JSON_COMPACT);
	int code;

	json_decref(body);
	if (text == NULL)
		return PF_EUNREACHABLE;
	snprintf(path, sizeof(path), "/vms/%s", self->name);
	call.body = text;
	call.body_bytes = strlen(text);
	code = pf_http_call(ctx, &call);
	free(call.answer);
	free(text);
	return code;
}

void
pf_http_vms(struct pf_http *http, struct pf_vm_list *out)
{
	out->list = list_vms;
	out->announce = announce;
	out->ctx = http;
}
