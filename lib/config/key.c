#include <assert.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "config.h"

/* Computes SHA-256 over salt and key. Keys are stored only in this form. Bytes
 * of the key beyond CFG_KEY_BYTES_MAX are ignored. */
void
cfg_key_hash(const uint8_t salt[16], const char *key, uint8_t hash[32])
{
	uint8_t input[16 + CFG_KEY_BYTES_MAX];
	size_t bytes = strnlen(key, CFG_KEY_BYTES_MAX);
	unsigned int hash_bytes = 0;

	memcpy(input, salt, 16);
	memcpy(input + 16, key, bytes);
	EVP_Digest(input, 16 + bytes, hash, &hash_bytes, EVP_sha256(), NULL);
	assert(hash_bytes == 32);
}

/* Returns whether the key belongs to the account. The hashes are compared in
 * constant time, so that the duration does not reveal how much of them
 * matches. */
bool
cfg_key_matches(const struct bd_account *account, const char *key)
{
	uint8_t hash[32];

	if (strnlen(key, CFG_KEY_BYTES_MAX + 1) > CFG_KEY_BYTES_MAX)
		return false;
	cfg_key_hash(account->key_salt, key, hash);
	return CRYPTO_memcmp(hash, account->key_hash, sizeof(hash)) == 0;
}
