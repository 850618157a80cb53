#ifndef CAMPHOR_CONFIG_H
#define CAMPHOR_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "board.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes and error lists. A check reports all errors of a file in one
 * run, not just the first.
 */
enum cfg_status {
	CFG_ESYNTAX = CW_BASE_CONFIG - 1,
	CFG_EINVALID = CW_BASE_CONFIG - 2, /* wrong key, type, unit or range */
	CFG_EFILE = CW_BASE_CONFIG - 3,
	CFG_EINFEASIBLE = CW_BASE_CONFIG - 4, /* guarantees do not fit */
	CFG_ENOMEM = CW_BASE_CONFIG - 5,
};

const char *cfg_status_name(int code);

#define CFG_ERRORS_MAX 64
#define CFG_ERROR_TEXT_BYTES 240

struct cfg_error {
	uint32_t line; /* from 1; 0: concerns the whole file */
	uint32_t column;
	char text[CFG_ERROR_TEXT_BYTES]; /* what is wrong and how to fix it */
};

struct cfg_errors {
	size_t count;
	struct cfg_error errors[CFG_ERRORS_MAX];
};

/*
 * 2. Settings of one camphord process.
 */
#define CFG_PEERS_MAX 32
#define CFG_PATH_BYTES 256
#define CFG_CURVE_KEY_BYTES 41 /* Z85 text, NUL included */

struct cfg_settings {
	char name[CW_NAME_BYTES]; /* of this VM, as the platform lists it */
	char region[24];
	char zone[24];
	char http_address[CW_NAME_BYTES];
	char peer_address[CW_NAME_BYTES];
	char platform_address[CW_NAME_BYTES];
	uint32_t peer_count;
	char peers[CFG_PEERS_MAX][CW_NAME_BYTES]; /* peer addresses */
	uint32_t http_threads;
	uint32_t drain_ms; /* limit of a graceful shutdown */
	char curve_public[CFG_CURVE_KEY_BYTES]; /* "": unencrypted links */
	char curve_secret[CFG_CURVE_KEY_BYTES];
	uint32_t curve_peer_count; /* public keys allowed to connect */
	char curve_peers[CFG_PEERS_MAX][CFG_CURVE_KEY_BYTES];
	char tls_certificate[CFG_PATH_BYTES]; /* "": HTTP without TLS */
	char log_level[8];
};

int cfg_settings_parse(const char *text, size_t bytes,
    struct cfg_settings *settings, struct cfg_errors *errors);
int cfg_settings_load(
    const char *path, struct cfg_settings *settings, struct cfg_errors *errors);

/*
 * 3. The operators' configuration (a TOML file with the tables fleet, account
 * and service), parsed into rows of the board's tables. Ids, key hashes and
 * derived fields are filled in; epochs, plans and versions are zero.
 */
struct cfg_config {
	size_t account_count;
	struct bd_account *accounts;
	size_t promise_count; /* one per copy of a guaranteed shape */
	struct bd_promise *promises;
	size_t service_count;
	struct bd_service *services;
	size_t runner_count;
	struct bd_runner *runners;
	struct bd_config global; /* [fleet]; text_bytes is 0 */
};

int cfg_config_parse(const char *text, size_t bytes, struct cfg_config **out,
    struct cfg_errors *errors);
void cfg_config_free(struct cfg_config *config);

/* What is accepted and probably not meant. accels is the number of accelerators
 * of the deployment, 0 if it is unknown. */
int cfg_config_warn(const char *text, size_t bytes,
    const struct cfg_config *config, uint32_t accels,
    struct cfg_errors *warnings);

/*
 * 4. Access keys of accounts.
 */
#define CFG_KEY_BYTES_MAX 128

void cfg_key_hash(const uint8_t salt[16], const char *key, uint8_t hash[32]);
bool cfg_key_matches(const struct bd_account *account, const char *key);

/*
 * 5. Reading files and reporting errors.
 */
int cfg_file_read(const char *path, size_t bytes_max, char **text,
    size_t *bytes, struct cfg_errors *errors);
size_t cfg_name_distance(const char *a, const char *b);
void cfg_errors_add(struct cfg_errors *errors, uint32_t line, uint32_t column,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

#ifdef __cplusplus
}
#endif

#endif
