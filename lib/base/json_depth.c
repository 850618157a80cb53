#include "base.h"

/*
 * Returns whether no array or object of a JSON text is nested deeper than
 * depth_max levels. The JSON library's parser recurses once per level, up to
 * 2048 levels, for which the stack of a server's thread is too small. A
 * malformed text is checked up to its first error at least.
 */
bool
cw_json_is_shallow(const void *text, size_t bytes, uint32_t depth_max)
{
	const char *at = text;
	const char *end = at + bytes;
	bool in_string = false;
	uint32_t depth = 0;

	for (; at < end; at++) {
		if (in_string) {
			if (*at == '\\' && at + 1 < end)
				at++;
			else if (*at == '"')
				in_string = false;
		} else if (*at == '"')
			in_string = true;
		else if (*at == '[' || *at == '{') {
			if (++depth > depth_max)
				return false;
		} else if ((*at == ']' || *at == '}') && depth > 0)
			depth--;
	}
	return true;
}
