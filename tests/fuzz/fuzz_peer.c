#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

/* A message that decodes must encode, decode and encode again to the same
 * bytes.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	static struct fl_msg msg, again;
	static unsigned char first[FL_MSG_BYTES_MAX], second[FL_MSG_BYTES_MAX];
	size_t first_bytes = 0;
	size_t second_bytes = 0;

	memset(&msg, 0, sizeof(msg));
	memset(&again, 0, sizeof(again));
	if (fl_msg_decode(data, bytes, &msg) != CW_OK)
		return 0;
	if (fl_msg_encode(&msg, first, sizeof(first), &first_bytes) != CW_OK ||
	    fl_msg_decode(first, first_bytes, &again) != CW_OK ||
	    fl_msg_encode(&again, second, sizeof(second), &second_bytes) !=
		CW_OK ||
	    first_bytes != second_bytes ||
	    memcmp(first, second, first_bytes) != 0)
		abort();
	return 0;
}
