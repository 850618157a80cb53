#include <string.h>

#include "ctl.h"

static void print_options(const struct ctl_option *options, size_t count);
static enum cli_exit run_completion(const void *ctx, struct ctl_session *ctl);

/* Prints the names of options, separated by spaces; operands have none. */
static void
print_options(const struct ctl_option *options, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (options[i].kind != CTL_OPERAND &&
		    options[i].kind != CTL_OPERAND_OPTIONAL)
			printf("--%s ", options[i].name);
}

/* camphorctl completion bash: generated from the option tables. */
static enum cli_exit
run_completion(const void *ctx, struct ctl_session *ctl)
{
	const char *shell = ctl_args_text(ctl->args, "shell");
	size_t g;
	size_t i;

	(void)ctx;
	if (strcmp(shell, "bash") != 0) {
		ctl_message("completion is available for bash only");
		return CLI_EXIT_USAGE;
	}
	printf("_camphorctl()\n{\n"
	       "\tlocal cur=${COMP_WORDS[COMP_CWORD]} command= word\n"
	       "\tlocal globals='");
	print_options(ctl_global_options, ctl_global_option_count);
	printf("' commands='");
	for (g = 0; g < ctl_group_count; g++)
		for (i = 0; i < ctl_groups[g]->count; i++)
			printf("%s ", ctl_groups[g]->commands[i].name);
	printf("' options=\n"
	       "\tfor word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
	       "\t\tcase \" $commands\" in *\" $word \"*) command=$word; "
	       "break;; esac\n\tdone\n\tcase $command in\n");
	for (g = 0; g < ctl_group_count; g++)
		for (i = 0; i < ctl_groups[g]->count; i++) {
			const struct ctl_command *command =
			    &ctl_groups[g]->commands[i];

			printf("\t%s) options='", command->name);
			print_options(command->options, command->option_count);
			printf("';;\n");
		}
	printf("\t'') options=$commands;;\n\tesac\n"
	       "\tcase $cur in\n"
	       "\t-*) COMPREPLY=($(compgen -W \"$options $globals\" -- "
	       "\"$cur\"));;\n"
	       "\t*) if [ -z \"$command\" ]; then\n"
	       "\t\tCOMPREPLY=($(compgen -W \"$commands\" -- \"$cur\"))\n"
	       "\telse\n\t\tCOMPREPLY=($(compgen -f -- \"$cur\"))\n\tfi;;\n"
	       "\tesac\n}\ncomplete -F _camphorctl camphorctl\n");
	return CLI_EXIT_OK;
}

static const struct ctl_option options[] = {
    {"shell", CTL_OPERAND, "SHELL", "bash"},
};

static const struct ctl_command commands[] = {
    {"completion", "print the completion script for a shell",
	"  source <(camphorctl completion bash)\n", CTL_OPTIONS(options),
	run_completion, NULL, true},
};
const struct ctl_group ctl_completion_group = {CTL_OPTIONS(commands)};
