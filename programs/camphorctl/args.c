#include <argtable2.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define OPTIONS_MAX 40
#define ERRORS_MAX 10

struct ctl_args {
	const struct ctl_command *command;
	const struct ctl_option *options[OPTIONS_MAX];
	size_t count;
	void *table[OPTIONS_MAX + 1]; /* argtable2 entries, then arg_end */
};

static void *make_entry(const struct ctl_option *option);
static const struct arg_str *find_text(
    const struct ctl_args *args, const char *name);

/* Creates the argtable2 entry of an option. */
static void *
make_entry(const struct ctl_option *option)
{
	switch (option->kind) {
	case CTL_FLAG:
		return arg_lit0(NULL, option->name, option->help);
	case CTL_TEXT:
		return arg_str0(NULL, option->name, option->type, option->help);
	case CTL_TEXTS:
		return arg_strn(NULL, option->name, option->type, 0,
		    CLI_SERVERS_MAX, option->help);
	case CTL_OPERAND:
		return arg_str1(NULL, NULL, option->type, option->help);
	case CTL_OPERAND_OPTIONAL:
	default:
		return arg_str0(NULL, NULL, option->type, option->help);
	}
}

/* Creates the parser for the options of a command and the global ones. Returns
 * CW_ENOMEM on failure. */
int
ctl_args_create(struct ctl_args **out, const struct ctl_command *command)
{
	struct ctl_args *args = calloc(1, sizeof(*args));
	size_t i;

	if (args == NULL)
		return cw_error_set(CW_ENOMEM, "out of memory");
	assert(command->option_count + ctl_global_option_count <= OPTIONS_MAX);
	args->command = command;
	for (i = 0; i < command->option_count; i++)
		args->options[args->count++] = &command->options[i];
	for (i = 0; i < ctl_global_option_count; i++)
		args->options[args->count++] = &ctl_global_options[i];
	for (i = 0; i < args->count; i++)
		args->table[i] = make_entry(args->options[i]);
	args->table[args->count] = arg_end(ERRORS_MAX);
	if (arg_nullcheck(args->table) != 0) {
		ctl_args_destroy(args);
		return cw_error_set(CW_ENOMEM, "out of memory");
	}
	*out = args;
	return CW_OK;
}

/* Frees the arguments, including the texts returned for them. */
void
ctl_args_destroy(struct ctl_args *args)
{
	if (args == NULL)
		return;
	arg_freetable(args->table, args->count + 1);
	free(args);
}

/* Parses the arguments without the command's name; argv[0] is the program. */
enum ctl_parse_result
ctl_args_parse(struct ctl_args *args, int argc, char **argv)
{
	int errors = arg_parse(argc, argv, args->table);

	if (ctl_args_flag(args, "help"))
		return CTL_PARSE_HELP;
	if (ctl_args_flag(args, "version"))
		return CTL_PARSE_VERSION;
	if (errors == 0)
		return CTL_PARSE_OK;
	arg_print_errors(
	    stderr, (struct arg_end *)args->table[args->count], "camphorctl");
	fprintf(stderr, "Try \"camphorctl %s --help\".\n", args->command->name);
	return CTL_PARSE_BAD;
}

/* Prints usage, options and examples of the command. */
void
ctl_args_help(const struct ctl_args *args, FILE *out)
{
	const struct ctl_command *command = args->command;
	void *command_table[OPTIONS_MAX + 1];
	size_t i;

	fprintf(
	    out, "%s\n\nUsage: camphorctl %s", command->summary, command->name);
	for (i = 0; i < command->option_count; i++)
		command_table[i] = args->table[i];
	command_table[i] = args->table[args->count];
	arg_print_syntax(out, command_table, " [GLOBAL OPTIONS]\n");
	if (command->option_count > 0) {
		fprintf(out, "\nOptions:\n");
		arg_print_glossary(out, command_table, "  %-24s %s\n");
	}
	fprintf(out, "\nGlobal options:\n");
	arg_print_glossary(
	    out, (void **)args->table + command->option_count, "  %-24s %s\n");
	fprintf(out, "\nExamples:\n%s", command->examples);
}

/* Finds an option that has a value. The command must have the option. */
static const struct arg_str *
find_text(const struct ctl_args *args, const char *name)
{
	size_t i;

	for (i = 0; i < args->count; i++)
		if (strcmp(args->options[i]->name, name) == 0) {
			assert(args->options[i]->kind != CTL_FLAG);
			return args->table[i];
		}
	assert(false);
	return NULL;
}

/* Returns whether a flag was given. */
bool
ctl_args_flag(const struct ctl_args *args, const char *name)
{
	size_t i;

	for (i = 0; i < args->count; i++)
		if (args->options[i]->kind == CTL_FLAG &&
		    strcmp(args->options[i]->name, name) == 0)
			return ((const struct arg_lit *)args->table[i])->count >
			    0;
	assert(false);
	return false;
}

/* Returns the value of an option or operand, NULL if it was not given. */
const char *
ctl_args_text(const struct ctl_args *args, const char *name)
{
	const struct arg_str *text = find_text(args, name);

	return text->count > 0 ? text->sval[0] : NULL;
}

/* Returns the number of values of a repeatable option and sets *values to them.
 */
size_t
ctl_args_texts(
    const struct ctl_args *args, const char *name, const char *const **values)
{
	const struct arg_str *text = find_text(args, name);

	*values = text->sval;
	return (size_t)text->count;
}

/* Parses an integer option; see ctl.h. */
bool
ctl_args_number(const struct ctl_args *args, const char *name, int64_t min,
    int64_t max, int64_t *value)
{
	const char *text = ctl_args_text(args, name);
	char *end;
	long long number;

	if (text == NULL)
		return true;
	number = strtoll(text, &end, 10);
	if (end == text || *end != '\0' || number < min || number > max) {
		ctl_message("\"%s\" for %s is not a whole number from %lld to "
			    "%lld",
		    text, name, (long long)min, (long long)max);
		return false;
	}
	*value = number;
	return true;
}
