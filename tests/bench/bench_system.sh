#!/bin/sh
# Nine daemons on loopback against the stand-in, sized for two years of growth:
# 800 workers, 275 of them with 4 accelerators, 6 zones in 3 regions, 29
# accounts, 2,800 tasks in gangs of up to 64. Prints the resources that a daemon
# uses in the steady state, and the time until a changed configuration is in
# force on all daemons. Missed targets are printed and do not change the exit
# code, which is non-zero only if the run fails.
# Arguments: BUILD [DAEMONS [SECONDS [SETTLE_SECONDS]]].
# Reports on recently started gangs are requested more often, so a longer
# settling time comes closer to the steady state.
set -u
build=$(cd "$1" && pwd)
. "$(dirname "$0")/../until.sh"
daemons=${2:-9}
seconds=${3:-60}
settle=${4:-0}
applies=20
work="$build/bench-system"
ctl="$build/camphorctl"
ticks=$(getconf CLK_TCK)
pids=""
rm -rf "$work"
mkdir -p "$work"

# Daemons would wait for running gangs to finish, so they are killed after 3 s.
stop_all() {
	for pid in $pids; do kill "$pid" 2>/dev/null; done
	sleep 3
	for pid in $pids; do kill -9 "$pid" 2>/dev/null; done
	for pid in $pids; do wait "$pid" 2>/dev/null; done
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
	echo "bench_system: $1" >&2
	exit 1
}

as() {
	account=$1
	shift
	CAMPHOR_ACCOUNT=$account CAMPHOR_KEY=$(cat "$work/key-$account") \
		CAMPHOR_SERVER=127.0.0.1:1808${server:-1} "$ctl" "$@"
}

now_ms() { date +%s%3N; }
daemon_numbers() { seq 1 "$daemons"; }
is_ready() { curl -sf "127.0.0.1:1808$1/ready"; }
version_is() {
	curl -s "127.0.0.1:1808$1/v1/config/version" -H "X-Account: operators" \
		-H "X-Account-Key: $(cat "$work/key-operators")" |
		grep -q "\"version\":$2[,}]"
}

# Prints the configuration with $1 as the weight of the first team.
text() {
	printf '[fleet]\nentry_vms = %s\nfragmentation_weight = 0.5\n' "$daemons"
	printf '[[account]]\nname = "operators"\nrole = "operator"\n'
	cat "$work/account-operators"
	for i in $(seq 1 28); do
		printf '[[account]]\nname = "team%s"\n' "$i"
		cat "$work/account-team$i"
		printf 'quota = 64\nrate = 200\nconcurrency = 64\nweight = %s.0\n' \
			"$([ "$i" = 1 ] && echo "$1" || echo 1)"
		printf '[[account.guarantee]]\nmembers = 2\naccelerators = 2\n'
		printf 'cores = 2\nmemory = "4GiB"\ncopies = 1\n'
	done
}

submit_gangs() {
	count=$1 members=$2 accels=$3
	for n in $(seq 1 "$count"); do
		team=$((team % 28 + 1))
		server=$((server % daemons + 1))
		as "team$team" submit --name "g-$members-$accels-$n" \
			--members "$members" --accelerators "$accels" \
			--cores 1 --memory-mb 1024 --class batch \
			--declared-s 36000 --input '{"run_ms":36000000}' \
			>/dev/null || fail "a job was refused"
	done
}

running_tasks() {
	as operators --json status --state running 2>/dev/null | tr '{,' '\n\n' |
		sed -n 's/.*"members": *\([0-9]*\).*/\1/p' |
		awk '{ n += $1 } END { print n + 0 }'
}
running_accels() {
	as operators --json status --state running 2>/dev/null | tr '{,' '\n\n' |
		awk -F: '/"members"/ { m = $2 } /"accelerators"/ { n += m * $2 }
		END { print n + 0 }'
}

# sample DAEMON NAME: stores CPU ticks, peer bytes sent, platform bytes in both
# directions by kind, and platform bytes sent.
sample() {
	curl -s "127.0.0.1:1808$1/metrics" >"$work/metrics-$1-$2" ||
		fail "entry-$1 does not answer"
	cpu=$(sed 's/.*) //' "/proc/$(cat "$work/pid-$1")/stat" |
		awk '{ print $12 + $13 }')
	awk -v cpu="$cpu" '
		/control_sent_bytes_total\{/ { peer += $2 }
		/platform_(sent|received)_bytes_total\{kind="log"/ { log_ += $2 }
		/platform_(sent|received)_bytes_total\{kind="vms"/ { vms += $2 }
		/platform_(sent|received)_bytes_total\{kind="tasks"/ { tasks += $2 }
		/platform_sent_bytes_total\{/ { sent += $2 }
		END { print cpu, peer + 0, log_ + 0, vms + 0, tasks + 0, sent + 0 }
	' "$work/metrics-$1-$2" >"$work/sample-$1-$2"
}

"$build/tests/standin" --port 18700 --runners 0 --workers 800 --accels 4 \
	--accel-workers 275 --cores 32 --memory-mb 65536 \
	--zones a/a1,b/b1,c/c1,a/a2,b/b2,c/c2 >"$work/standin.log" 2>&1 &
pids="$pids $!"
until_true 5 curl -sf 127.0.0.1:18700/vms || fail "the stand-in does not answer"
peers=$(for i in $(daemon_numbers); do printf '"127.0.0.1:1807%s", ' "$i"; done)
regions="a b c"
for i in $(daemon_numbers); do
	region=$(echo "$regions" | cut -d' ' -f$(((i - 1) % 3 + 1)))
	cat >"$work/entry-$i.toml" <<TOML
name = "entry-$i"
region = "$region"
zone = "$region$(((i - 1) / 3 % 2 + 1))"
http_address = "127.0.0.1:1808$i"
peer_address = "127.0.0.1:1807$i"
platform_address = "127.0.0.1:18700"
peers = [${peers%, }]
TOML
	"$build/camphord" "$work/entry-$i.toml" >"$work/entry-$i.log" 2>&1 &
	pids="$pids $!"
	echo $! >"$work/pid-$i"
done
for i in $(daemon_numbers); do
	until_true 15 is_ready "$i" || fail "entry-$i does not start"
done

for name in operators $(seq -f 'team%.0f' 1 28); do
	"$ctl" key "$name" --out "$work/key-$name" 2>/dev/null |
		grep -E '^ *key_(salt|sha256)' >"$work/account-$name"
done
text 1 >"$work/text.toml"
"$ctl" --server 127.0.0.1:18081 apply --base 0 "$work/text.toml" >/dev/null ||
	fail "the first text is refused"
for i in $(daemon_numbers); do
	until_true 10 version_is "$i" 1 || fail "no version 1 on entry-$i"
done
workers_known() {
	[ "$(as operators --json workers | grep -o '"name"' | wc -l)" -ge 800 ]
}
until_true 30 workers_known || fail "the workers are not known"

team=0
server=1 # the daemon that accepts a job owns it
started=$(now_ms)
submit_gangs 8 64 1
submit_gangs 16 16 1
submit_gangs 20 8 1
submit_gangs 40 4 1
submit_gangs 12 1 1
submit_gangs 16 64 0
submit_gangs 20 16 0
submit_gangs 40 8 0
submit_gangs 36 1 0
echo "jobs_submitted=208"
all_run() { [ "$(running_tasks)" -ge 2800 ]; }
until_true 25 all_run
echo "ramp_ms=$(($(now_ms) - started))"
echo "tasks_running=$(running_tasks)"
echo "accelerators_in_use=$(running_accels)"

sleep "$settle"
for i in $(daemon_numbers); do sample "$i" a; done
sleep "$seconds"
for i in $(daemon_numbers); do
	sample "$i" b
	pid=$(cat "$work/pid-$i")
	rss=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")
	threads=$(awk '/Threads/ { print $2 }' "/proc/$pid/status")
	paste -d' ' "$work/sample-$i-a" "$work/sample-$i-b" |
		awk -v s="$seconds" -v t="$ticks" -v r="$rss" -v n="$threads" '{
		printf "%.1f %.2f %.1f %d %.1f %.1f %.1f %.1f %.1f\n",
		    ($8 + $9 + $10 + $11 - $2 - $3 - $4 - $5) / s,
		    ($7 - $1) * 100 / t / s, r / 1024, n, ($8 - $2) / s,
		    ($9 - $3) / s, ($10 - $4) / s, ($11 - $5) / s,
		    ($8 + $12 - $2 - $6) / s }'
done >"$work/daemons"
# Prints the maximum and the median of a column over the daemons.
spread() {
	sort -n -k"$2" "$work/daemons" | awk -v c="$2" -v k="$1" '
		{ v[NR] = $c }
		END { print k "=" v[NR]; print k "_median=" v[int((NR + 1) / 2)] }'
}
# Bytes between daemons are counted at the sender, bytes to and from the platform
# at the daemon, without the headers of TCP and IP.
spread control_bytes_per_s 1
spread control_cpu_pct 2
spread rss_mb 3
spread daemon_threads 4
spread control_peer_bytes_per_s 5
spread control_log_bytes_per_s 6
spread control_vms_bytes_per_s 7
spread control_tasks_bytes_per_s 8
spread control_sent_bytes_per_s 9

for n in $(seq 1 $applies); do
	text $((n + 1)) >"$work/text.toml"
	started=$(now_ms)
	as operators apply --base "$n" "$work/text.toml" >/dev/null ||
		fail "apply $n is refused"
	for i in $(daemon_numbers); do
		until_true 10 version_is "$i" $((n + 1)) ||
			fail "version $((n + 1)) is not in force on entry-$i"
	done
	echo $(($(now_ms) - started))
done | sort -n >"$work/applies"
[ "$(wc -l <"$work/applies")" -eq "$applies" ] || exit 1
echo "config_in_force_p50_ms=$(sed -n "$((applies / 2))p" "$work/applies")"
echo "config_in_force_p99_ms=$(tail -1 "$work/applies")"

target() {
	key=$1 value=$2 limit=$3
	awk -v v="$value" -v l="$limit" -v k="$key" 'BEGIN {
		print "target " k ": " v " of " l ", " (v <= l ? "met" : "not met") }'
}
column() { sort -n -k"$1" "$work/daemons" | tail -1 | cut -d' ' -f"$1"; }
target control_bytes_per_s "$(column 1)" 3000
target control_cpu_pct "$(column 2)" 3.6
target rss_mb "$(column 3)" 64
target config_in_force_p99_ms "$(tail -1 "$work/applies")" 4000
