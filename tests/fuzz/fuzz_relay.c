#include <stdlib.h>
#include <string.h>

#include "relay.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static void check_message(const void *data, size_t bytes);
static void check_announcement(const void *data, size_t bytes);

/* A message that decodes must encode, decode and encode again to the same
 * bytes. */
static void
check_message(const void *data, size_t bytes)
{
	struct fw_relay_message *message;
	struct fw_relay_message *again;
	void *first, *second;
	size_t first_bytes, second_bytes;

	if (fw_relay_decode(data, bytes, &message) != CW_OK)
		return;
	if (fw_relay_encode(message, &first, &first_bytes) != CW_OK ||
	    fw_relay_decode(first, first_bytes, &again) != CW_OK ||
	    fw_relay_encode(again, &second, &second_bytes) != CW_OK ||
	    first_bytes != second_bytes ||
	    memcmp(first, second, first_bytes) != 0)
		abort();
	free(message);
	free(again);
	free(first);
	free(second);
}

/* The same for the announcement of a VM. */
static void
check_announcement(const void *data, size_t bytes)
{
	struct bd_peer peer, again;
	void *encoded;
	size_t encoded_bytes;

	if (fw_peer_decode(data, bytes, &peer) != CW_OK)
		return;
	if (fw_peer_encode(&peer, &encoded, &encoded_bytes) != CW_OK ||
	    fw_peer_decode(encoded, encoded_bytes, &again) != CW_OK ||
	    memcmp(&peer, &again, sizeof(peer)) != 0)
		abort();
	free(encoded);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	check_message(data, bytes);
	check_announcement(data, bytes);
	return 0;
}
