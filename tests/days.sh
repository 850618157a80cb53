#!/bin/sh
# Plays the quick standard days of the deployments in force, whose seeds are
# fixed, and prints how the worth of each day differs from that in the latest
# score of the same site in journal/.
#
# usage: tests/days.sh BENCH JOBS SITE...     (in the repository's root)
#
# Exit 1 if a site does not pass its gate. Without processor time a day repeats;
# a difference below 0.1 on a single day is no finding.
set -u
[ $# -ge 3 ] || {
	echo "usage: make days BENCH=PROGRAM SITES=\"SITE...\" [JOBS=N]" >&2
	exit 2
}
bench=$1
jobs=$2
shift 2
[ -x "$bench" ] || {
	echo "BENCH: $bench cannot be run" >&2
	exit 2
}
out=$(mktemp)
trap 'rm -f "$out"' EXIT
failed=0

# Prints "DAY WORTH" for each row of a table of days on standard input.
worths() {
	awk '$1 == "day" { table = 1; next }
		table && $2 ~ /^[0-9]+\/[0-9]+$/ { print $1, $4 }'
}

# Prints the table of days of the latest score of a site in the journal.
latest() {
	file=$(grep -l "\"cmd\":\"score\".*$1\.toml" journal/*.json |
		xargs -r grep -l "$1" | sort | tail -n 1)
	[ -n "$file" ] || return
	echo "compared with $file" >&2
	sed -n 's/^"digest":"\(.*\)",*$/\1/p' "$file" | sed 's/\\n/\n/g'
}

for site in "$@"; do
	name=$(basename "$site" .toml)
	before=$(latest "$name" | worths)
	"$bench" score "$site" --quick --no-cpu --jobs "$jobs" \
		--why "regression run" >"$out" 2>&1
	echo "== $name"
	worths <"$out" | while read -r day worth; do
		was=$(echo "$before" | awk -v day="$day" '$1 == day { print $2 }')
		echo "$day $worth ${was:--}" | awk '{
			printf "%-16s %.3f", $1, $2
			if ($3 != "-") printf " (%+.3f)", $2 - $3
			print ""
		}'
	done
	grep -E 'BROKEN|no result' "$out"
	grep -q 'GATE passed' "$out" || {
		grep 'GATE' "$out" || tail -n 5 "$out"
		failed=1
	}
done
exit $failed
