#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

/*
 * Reads a whole file of at most bytes_max bytes into *text, which is
 * NUL-terminated and freed by the caller. Returns CFG_ENOMEM, or CFG_EFILE
 * with one error that names the file.
 */
int
cfg_file_read(const char *path, size_t bytes_max, char **text, size_t *bytes,
    struct cfg_errors *errors)
{
	FILE *file;
	char *buffer;

	assert(path != NULL && text != NULL && bytes != NULL);
	file = fopen(path, "rb");
	if (file == NULL) {
		cfg_errors_add(
		    errors, 0, 0, "%.160s: %s", path, strerror(errno));
		return CFG_EFILE;
	}
	buffer = malloc(bytes_max + 2);
	if (buffer == NULL) {
		fclose(file);
		return CFG_ENOMEM;
	}
	*bytes = fread(buffer, 1, bytes_max + 1, file);
	if (ferror(file) || *bytes > bytes_max) {
		cfg_errors_add(errors, 0, 0, "%.160s: %s", path,
		    ferror(file) ? "cannot be read" : "the file is too large");
		fclose(file);
		free(buffer);
		return CFG_EFILE;
	}
	fclose(file);
	buffer[*bytes] = '\0';
	*text = buffer;
	return CW_OK;
}
