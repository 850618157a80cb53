#include <sys/random.h>

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "config.h"

static int fill_random(void *bytes, size_t count);
static void to_hex(char *text, const uint8_t *bytes, size_t count);

/* Fills a buffer with random bytes of the kernel. Returns CW_EIO if
 * getrandom() fails. */
static int
fill_random(void *bytes, size_t count)
{
	uint8_t *cursor = bytes;
	ssize_t n;

	while (count > 0) {
		n = getrandom(cursor, count, 0);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return cw_error_set(CW_EIO,
			    "cannot get random bytes: %s", strerror(errno));
		cursor += n;
		count -= (size_t)n;
	}
	return CW_OK;
}

/* Writes count bytes as 2 * count hexadecimal digits and a NUL. */
static void
to_hex(char *text, const uint8_t *bytes, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		snprintf(text + 2 * i, 3, "%02x", bytes[i]);
}

/*
 * Encodes 32 secret bytes as a key of 43 characters (base64url without padding,
 * which needs no quoting in a shell, a header or TOML) and fills in salt and
 * hash in the form that the operators' configuration has.
 */
void
cli_key_from_entropy(
    struct cli_key *key, const uint8_t secret[32], const uint8_t salt[16])
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789-_";
	uint8_t hash[32];
	uint32_t bits = 0;
	uint32_t bit_count = 0;
	size_t length = 0;
	size_t i;

	assert(key != NULL && secret != NULL && salt != NULL);
	for (i = 0; i < 32; i++) {
		bits = bits << 8 | secret[i];
		for (bit_count += 8; bit_count >= 6; bit_count -= 6)
			key->key[length++] =
			    digits[bits >> (bit_count - 6) & 63];
	}
	key->key[length++] = digits[bits << (6 - bit_count) & 63];
	assert(length == CLI_KEY_BYTES - 1);
	key->key[length] = '\0';
	cfg_key_hash(salt, key->key, hash);
	to_hex(key->salt_hex, salt, 16);
	to_hex(key->hash_hex, hash, sizeof(hash));
}

/* Generates an access key. Returns CW_EIO if there are no random bytes. */
int
cli_key_generate(struct cli_key *key)
{
	uint8_t random[48];
	int code = fill_random(random, sizeof(random));

	if (cw_is_error(code))
		return code;
	cli_key_from_entropy(key, random, random + 32);
	explicit_bzero(random, sizeof(random));
	return CW_OK;
}

/* Generates an idempotency key: "ctl-" and 128 random bits in hexadecimal.
 * Returns CW_EIO if there are no random bytes. */
int
cli_idempotency_key_generate(char idempotency_key[CLI_IDEMPOTENCY_KEY_BYTES])
{
	uint8_t random[16];
	int code = fill_random(random, sizeof(random));

	if (cw_is_error(code))
		return code;
	memcpy(idempotency_key, "ctl-", 4);
	to_hex(idempotency_key + 4, random, sizeof(random));
	return CW_OK;
}
