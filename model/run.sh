#!/bin/sh
# Runs each model and each of its mutations. Fails if a model violates a
# property or if a mutation violates none.
set -eu
build=$1/model
model=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$build"
failed=0

# check NAME MUTATION: prints the numbers of errors and of states of one run.
check() {
	dir="$build/$1-${2:-none}"
	mkdir -p "$dir"
	cp "$model/$1.pml" "$dir"
	(
		cd "$dir"
		spin -a ${2:+-D$2} "$1.pml" >spin.out 2>&1 || { cat spin.out >&2; exit 1; }
		cc -O2 -DSAFETY -DVECTORSZ=2048 -o pan pan.c >cc.out 2>&1
		# Invalid end states are not a property of these models.
		./pan -E -m1000000 >pan.out 2>&1 || true
		errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out)
		states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
		if grep -q 'max search depth too small' pan.out; then
			errors=incomplete
		fi
		echo "${errors:-none} ${states:-0}"
	)
}

# run NAME MUTATION...: prints the properties from the head of the model, then
# the results of the model and of each mutation.
run() {
	name=$1
	shift
	grep -A3 '^ \* Propert' "$model/$name.pml" | sed -n '/Propert/,/^ \* Mut/p' |
		grep -v 'Mutation' | sed 's/^ \* //'
	result=$(check "$name" "")
	echo "model=$name errors=${result% *} states=${result#* }"
	[ "${result% *}" = 0 ] || failed=1
	for mutation in "$@"; do
		result=$(check "$name" "$mutation")
		echo "model=$name mutation=$mutation errors=${result% *}" \
			"states=${result#* }"
		case "${result% *}" in
		0 | none | incomplete)
			echo "mutation $mutation of $name was not found"
			failed=1
			;;
		esac
	done
}

run ownership NO_FENCE NO_SEQUENCE
run gang NO_COMMIT NO_TOKEN NO_STOP
run config OLD_SNAPSHOT NO_BASE
run takeover ANEW EARLY SHORT
run runs NO_LEASE NO_OVERHANG NO_FENCE ACK_REPLACED
exit $failed
