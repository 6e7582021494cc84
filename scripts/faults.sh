#!/usr/bin/env bash
# Sends model requests and bookings from clients that retry at once, while the
# store is down for a minute, an availability zone's hosts leave on two seconds'
# notice, and one entry host is killed and another paused. Prints the clients'
# counts and when the leaving engines got their last new request. Exits 0 only
# if nothing ran twice, nothing refused as not run was run, no response was
# wrong, and the leaving engines got nothing new 3 s after the notice.
# Usage: faults.sh [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
[ "${1:-}" = --seed ] && seed=$2
bin=build
# shellcheck source=scripts/processes.sh
source scripts/processes.sh
trap 'end_all; rm -rf "$work"' EXIT

fail() {
	echo "faults: $*" >&2
	exit 1
}

fleet_versions=(v1 v1 v1 v1 v1 v1)
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh

faults() { # ADDRESS JSON
	curl -sf -o "$work/faults.out" "http://$1/faults" -d "$2"
}

# Requests that the engines of zone-a have got.
zone_calls() {
	local sum=0 i calls
	for i in 0 3; do
		calls=$(curl -sf "http://${engines[$i]}/stats" |
		    sed 's/.*"calls":\([0-9]*\).*/\1/')
		sum=$((sum + calls))
	done
	echo "$sum"
}

"$bin/papaya-load" "${entry_args[@]}" --rate 40 --duration 85 \
    --model demo/chat --booking demo/pickup/book --booking-share 0.3 \
    --runs "${services[0]}" --runs "${services[1]}" --seed "$seed" \
    --patience-ms 90000 >"$work/load.out" 2>"$work/load.err" &
load_pid=$!
pids+=("$load_pid")
sleep 3
faults "$store" '{"down": true}'
sleep 60
faults "$store" '{"down": false}'
sleep 3
faults "$cloud" '{"notice_ms": 2000, "reclaim_zone": "zone-a"}'
noticed=$(date +%s%N)
last=$noticed
before=$(zone_calls)
[ "$before" -gt 0 ] || fail "the leaving engines had no request at all"
while [ $((($(date +%s%N) - noticed) / 1000000)) -lt 6000 ]; do
	now=$(zone_calls)
	[ "$now" -eq "$before" ] || last=$(date +%s%N)
	before=$now
	sleep 0.05
done
kill -STOP "${entry_pids[1]}"
kill -KILL "${entry_pids[2]}"
wait "${entry_pids[2]}" 2>/dev/null || true
sleep 4
kill -CONT "${entry_pids[1]}"
wait "$load_pid" || true

last_ms=$(((last - noticed) / 1000000))
report=$(tr -d '\n' <"$work/load.out" | sed 's/  */ /g')
grep -o '"bookings": {[^}]*}\|"streams": {[^}]*}' <<<"$report"
echo "faults: last new request to a leaving engine ${last_ms} ms after the notice"
for name in run_twice accepted_not_run refused_but_run wrong_answer \
    cut_shown_whole wrong; do
	grep -q "\"$name\": 0\b" <<<"$report" || fail "$name is not 0"
done
[ "$last_ms" -le 3000 ] || fail "a leaving engine got new requests for too long"
