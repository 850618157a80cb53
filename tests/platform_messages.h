#ifndef CAMPHOR_TESTS_PLATFORM_MESSAGES_H
#define CAMPHOR_TESTS_PLATFORM_MESSAGES_H

#include <string>
#include <vector>

#include "adapter.h"

inline const char settings_text[] =
    "{\"NodeName\":\"front-1\",\"Zone\":\"z\",\"Region\":\"r\","
    "\"Ip\":\"10.0.0.1\",\"InternalPorts\":[7000,7015],"
    "\"ListenAddrs\":{\"Front\":\"10.0.0.1:1\",\"Ready\":\"10.0.0.1:2\"},"
    "\"Bounds\":{\"MaxHoldMs\":6000,\"GraceS\":6,\"status_s\":120},"
    "\"platform\":{\"Address\":\"10.0.0.9:3\",\"MinTtlMs\":1000},"
    "\"NewField\":[1]}";

/* Returns the entry of a worker with this address and these labels. */
inline std::string
worker_entry(const std::string &address, const std::string &zone,
    const std::string &kind, const std::string &rack)
{
	return "{\"Service\":\"s\",\"Address\":\"" + address +
	    "\",\"Zone\":\"" + zone +
	    "\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":1,\"MemMb\":2},"
	    "\"Labels\":[\"" +
	    kind + "\",\"" + rack + "\"]}";
}

/* Appends a record to a list of texts, as KEY=VALUE@OFFSET. */
inline void
collect(void *ctx, const struct fw_record *record)
{
	std::vector<std::string> *out = (std::vector<std::string> *)ctx;

	out->push_back(std::string(record->key) + "=" +
	    std::string(
		record->value != nullptr ? (const char *)record->value : "",
		record->value_bytes) +
	    "@" + std::to_string(record->offset));
}

#endif
