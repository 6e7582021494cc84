#!/usr/bin/env bash
# Starts the stand-ins and six entry hosts in three availability zones, applies
# a settings tree, sends model requests and bookings, moves a service to a new
# version and kills one entry host meanwhile. Prints one summary line; exits 0
# only if every response was complete, each booking ran once and the move's
# outcome was reported. Usage: demo.sh [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
[ "${1:-}" = --seed ] && seed=$2
bin=build
if [ -z "${DEMO_SKIP_BUILD:-}" ]; then
	scripts/packages.sh
	scripts/build.sh "$bin" >/dev/null
fi
# shellcheck source=scripts/processes.sh
source scripts/processes.sh

cleanup() {
	end_all
	if [ -n "${DEMO_KEEP:-}" ]; then
		echo "demo: logs kept in $work" >&2
	else
		rm -rf "$work"
	fi
}
trap cleanup EXIT

fail() {
	echo "demo: $*" >&2
	tail -n 5 "$work"/*.err >&2 || true
	exit 1
}

start store "$bin/standin-store" --seed "$seed"
store=$address
start cloud "$bin/standin-cloud" --seed "$seed"
cloud=$address

mkdir -p "$work/team/services" "$work/team/backends" "$work/team/workspaces"
cat >"$work/team/services/chat.json" <<JSON
{"kind": "model", "current": "v1", "versions": ["v1", "v2"],
 "timeout_ms": 30000, "slo": {"first_token_ms": 690, "between_tokens_ms": 61,
 "target": 0.95}, "limit": {"in_flight": 64, "waiting": 256},
 "retry_budget": 0.1}
JSON
cat >"$work/team/services/pickup.json" <<JSON
{"kind": "plain", "repeatable": false, "current": "v1", "versions": ["v1"],
 "timeout_ms": 5000, "slo": {"answer_ms": 2000, "target": 0.95},
 "ledger": {"retention_s": 86400, "key": "any"}}
JSON
backend() { # NAME ADDRESS ZONE SERVICE VERSION
	cat >"$work/team/backends/$1.json" <<JSON
{"address": "$2", "host": "host-$1", "zone": "$3", "class": "a",
 "service": "$4", "version": "$5", "price_per_hour": 1.0,
 "reclaimable": true, "fencing": "checked"}
JSON
}
zones=(zone-a zone-b zone-c)
for i in 0 1 2 3 4 5; do
	zone=${zones[$((i % 3))]}
	version=v$((i / 3 + 1))
	start "engine-$i" "$bin/standin-engine" --name "engine-$i" \
	    --model-version "$version" --seed $((seed + i)) \
	    --faults '{"token_ms": 5}'
	backend "engine-$i" "$address" "$zone" chat "$version"
done
services=()
for i in 0 1; do
	start "service-$i" "$bin/standin-service" --name "service-$i" \
	    --model-version v1 --seed $((seed + i))
	services+=("$address")
	backend "service-$i" "$address" "${zones[$i]}" pickup v1
done
for i in 0 1 2 3 4; do
	echo '{"weight": 1, "priority": 1, "large": false}' \
	    >"$work/team/workspaces/workspace-$i.json"
done

entries=()
entry_pids=()
for i in 0 1 2 3 4 5; do
	cat >"$work/entry-$i.json" <<JSON
{"name": "entry-$i", "zone": "${zones[$((i % 3))]}", "address": "127.0.0.1",
 "store": "http://$store", "cloud": "http://$cloud", "teams": ["demo"],
 "seed": $((seed * 100 + i + 1))}
JSON
	start "entry-$i" "$bin/papayad" --config "$work/entry-$i.json"
	entries+=("$address")
	entry_pids+=("$pid")
done

ctl() {
	"$bin/papayactl" --node "${entries[1]}" --node "${entries[2]}" \
	    --team demo "$@"
}
ctl validate "$work/team" >/dev/null || fail "the settings are not valid"
ctl apply "$work/team" --author demo --message "first" --wait \
    >"$work/apply.out" || fail "apply failed: $(cat "$work/apply.out")"

entry_args=()
for address in "${entries[@]}"; do
	entry_args+=(--entry "$address")
done
"$bin/papaya-load" "${entry_args[@]}" --rate 60 --duration 12 \
    --model demo/chat --booking demo/pickup/book --booking-share 0.3 \
    --runs "${services[0]}" --runs "${services[1]}" --seed "$seed" \
    >"$work/load.out" 2>"$work/load.err" &
load_pid=$!
pids+=("$load_pid")

sleep 1
ctl move start chat --to v2 --within 20 >"$work/move.out" ||
    fail "the move did not start: $(cat "$work/move.out")"
sleep 2
kill -KILL "${entry_pids[0]}"
wait "${entry_pids[0]}" 2>/dev/null || true

move_code=0
ctl move status chat --wait >"$work/status.out" || move_code=$?
case $move_code in
0) move=finished ;;
3) move=taken_back ;;
*) move=undecided ;;
esac
load_code=0
wait "$load_pid" || load_code=$?

used=0
for i in 1 2 3 4 5; do
	curl -sf "http://${entries[$i]}/metrics" >"$work/metrics-$i.txt" ||
	    fail "entry-$i does not answer"
	grep -q '^attempts_total.* [1-9]' "$work/metrics-$i.txt" &&
	    used=$((used + 1))
done
figures=$(tr -d '\n' <"$work/load.out" | sed 's/  */ /g' |
    grep -o '"bookings": {[^}]*}\|"streams": {[^}]*}' | tr '\n' ' ')
echo "demo: move $move; entry hosts used $used, killed 1; $figures"
[ "$load_code" -eq 0 ] || fail "load reported a fault: $(cat "$work/load.out")"
[ "$move" != undecided ] || fail "the move's outcome was not reported"
[ "$used" -ge 2 ] || fail "fewer than two entry hosts were used"
