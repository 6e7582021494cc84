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

fleet_versions=(v1 v1 v1 v2 v2 v2)
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
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
