#include <assert.h>
#include <string.h>
#include <sys/random.h>

#include <xxhash.h>

#include "base.h"

/* Returns the 64-bit id of a name, a hash that is the same on every VM. */
uint64_t
cw_id_from_name(const char *name)
{
	assert(name != NULL);
	return XXH64(name, strlen(name), 0);
}

/* Returns an id that depends on both arguments and on their order. */
uint64_t
cw_id_from_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = {a, b};

	return XXH64(pair, sizeof(pair), 0);
}

/* Returns the xxHash64 of a byte range. */
uint64_t
cw_hash(const void *data, size_t bytes, uint64_t seed)
{
	return XXH64(data, bytes, seed);
}

/*
 * Copies a name and zeroes the rest of dst, so that rows can be compared and
 * hashed as bytes. Returns CW_ERANGE if the name does not fit, with dst
 * unchanged.
 */
int
cw_name_copy(char *dst, size_t dst_bytes, const char *src)
{
	size_t length;

	assert(dst != NULL && src != NULL);
	length = strlen(src);
	if (length >= dst_bytes)
		return cw_error_set(CW_ERANGE,
		    "name \"%.64s\" is longer than %zu bytes", src,
		    dst_bytes - 1);
	memset(dst, 0, dst_bytes);
	memcpy(dst, src, length);
	return CW_OK;
}

/* Seeds a generator; equal seeds give equal sequences. */
void
cw_rng_seed(struct cw_rng *rng, uint64_t seed)
{
	rng->state = seed;
}

/* Returns the next 64 random bits (splitmix64). */
uint64_t
cw_rng_next(struct cw_rng *rng)
{
	uint64_t z;

	rng->state += 0x9e3779b97f4a7c15ULL;
	z = rng->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Returns an integer in [0, bound); bound must not be 0. */
uint32_t
cw_rng_below(struct cw_rng *rng, uint32_t bound)
{
	assert(bound > 0);
	return (uint32_t)(((cw_rng_next(rng) >> 32) * bound) >> 32);
}

/* Returns a number in [0, 1). */
double
cw_rng_unit(struct cw_rng *rng)
{
	return (double)(cw_rng_next(rng) >> 11) * 0x1.0p-53;
}

/* Returns 64 random bits from the kernel, never 0. */
uint64_t
cw_rng_entropy(void)
{
	uint64_t value = 0;

	while (value == 0)
		if (getrandom(&value, sizeof(value), 0) != sizeof(value))
			value = 0;
	return value;
}
