#!/bin/sh
# Builds the fuzz targets with clang and runs each on a copy of its corpus,
# tests/fuzz/corpus/<decoder>. FUZZ_SECONDS sets the time of one run.
# Inputs that cause a crash are kept in build-fuzz/crashes.
set -eu
cd "$(dirname "$0")/../.."
build=build-fuzz
seconds=${FUZZ_SECONDS:-10}
jobs=${JOBS:-$(nproc)}

cmake -S . -B "$build" -G Ninja -DCAMPHOR_FUZZ=ON \
	-DCAMPHOR_SANITIZE=address,undefined -DCMAKE_C_COMPILER=clang \
	-DCMAKE_CXX_COMPILER=clang++ >/dev/null
targets=""
for source in tests/fuzz/fuzz_*.c; do
	targets="$targets $(basename "$source" .c)"
done
# shellcheck disable=SC2086
cmake --build "$build" -j "$jobs" --target $targets >"$build/build.out" || {
	cat "$build/build.out"
	exit 1
}

failed=0
mkdir -p "$build/crashes"
for target in $targets; do
	decoder=${target#fuzz_}
	corpus="$build/corpus/$decoder"
	out="$build/$target.out"
	rm -rf "$corpus"
	mkdir -p "$build/corpus"
	cp -r "tests/fuzz/corpus/$decoder" "$corpus"
	if "$build/tests/$target" -max_total_time="$seconds" -timeout=10 \
		-rss_limit_mb=4096 -print_final_stats=1 \
		-artifact_prefix="$build/crashes/$decoder-" "$corpus" \
		>"$out" 2>&1; then
		runs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$out")
		echo "$target: $runs inputs, no crash"
	else
		tail -n 40 "$out"
		echo "$target: failed, the whole output is in $out"
		failed=$((failed + 1))
	fi
done
[ "$failed" -eq 0 ]
