# Sourced by the scripts that wait for real processes.

# until_true SECONDS COMMAND...: repeats the command until it succeeds, or fails
# after SECONDS.
until_true() {
	left=$(($1 * 5))
	shift
	while [ "$left" -gt 0 ]; do
		"$@" >/dev/null 2>&1 && return 0
		left=$((left - 1))
		sleep 0.2
	done
	return 1
}
