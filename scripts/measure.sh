#!/usr/bin/env bash
# Measures real processes over loopback: requests a second and added latency of
# one papayad against direct calls in the same run, and the idle cost of 3, 12
# and 48 nodes. Prints one JSON object a measurement. Usage: measure.sh
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build
# shellcheck source=scripts/processes.sh
source scripts/processes.sh
trap 'end_all; rm -rf "$work"' EXIT

cpu_ms() { # PID
	awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' \
	    "/proc/$1/stat"
}

resident_kb() { # PID
	awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}

metric() { # ADDRESS NAME
	curl -sf "http://$1/metrics" | awk -v name="$2" \
	    'index($1, name) == 1 {sum += $2} END {print sum + 0}'
}

node() { # NAME ZONE
	cat >"$work/$1.json" <<JSON
{"name": "$1", "zone": "$2", "address": "127.0.0.1",
 "store": "http://$store", "teams": ["demo"]}
JSON
	start "$1" "$bin/papayad" --config "$work/$1.json"
}

write_team() { # ENGINE-ADDRESS...
	rm -rf "$work/team"
	mkdir -p "$work/team/services" "$work/team/backends" \
	    "$work/team/workspaces"
	cat >"$work/team/services/chat.json" <<JSON
{"kind": "model", "current": "v1", "versions": ["v1"], "timeout_ms": 30000,
 "slo": {"first_token_ms": 690, "between_tokens_ms": 61, "target": 0.95},
 "limit": {"in_flight": 4000, "waiting": 4000}, "retry_budget": 0.1,
 "limit_policy": "fixed"}
JSON
	echo '{"weight": 1}' >"$work/team/workspaces/workspace-0.json"
	local i=0
	for engine in "$@"; do
		cat >"$work/team/backends/engine-$i.json" <<JSON
{"address": "$engine", "host": "host-$i", "zone": "zone-a", "class": "a",
 "service": "chat", "version": "v1"}
JSON
		i=$((i + 1))
	done
}

apply() { # NODE-ADDRESS
	"$bin/papayactl" --node "$1" --team demo apply "$work/team" --wait \
	    >"$work/apply.out"
}

load() { # RATE TOKENS ARG...
	local rate=$1 tokens=$2
	shift 2
	"$bin/papaya-load" --rate "$rate" --duration 5 --workspaces 1 \
	    --model demo/chat --max-tokens "$tokens" --seed 1 --no-retry \
	    "$@" >"$work/load.out" || true
	tr -d '\n' <"$work/load.out" | sed 's/  */ /g' |
	    sed 's/.*"streams": {\([^}]*\)}.*"first_token": {\([^}]*\)}.*/\1, \2/'
}

measure_path() {
	local engines=() papayad before
	start store "$bin/standin-store"
	store=$address
	for i in 0 1 2 3; do
		start "engine-$i" "$bin/standin-engine" --model-version v1
		engines+=("$address")
	done
	node node-0 zone-a
	papayad=$address
	papayad_pid=$pid
	write_team "${engines[@]}"
	apply "$papayad"
	for tokens in 1 16; do
		for rate in 100 400 1600; do
			printf '{"path": "direct", "rate": %s, "tokens": %s, %s}\n' \
			    "$rate" "$tokens" "$(load "$rate" "$tokens" --direct \
			    --entry "${engines[0]}" --entry "${engines[1]}" \
			    --entry "${engines[2]}" --entry "${engines[3]}")"
			before=$(cpu_ms "$papayad_pid")
			printf '{"path": "papayad", "rate": %s, "tokens": %s, %s, ' \
			    "$rate" "$tokens" \
			    "$(load "$rate" "$tokens" --entry "$papayad")"
			printf '"cpu_ms": %s, "resident_kb": %s}\n' \
			    "$(awk -v a="$before" -v b="$(cpu_ms "$papayad_pid")" \
			    'BEGIN {print b - a}')" "$(resident_kb "$papayad_pid")"
		done
	done
	end_all
}

measure_idle() { # NODES
	local count=$1 seconds=10 addresses=() node_pids=() i
	start store "$bin/standin-store"
	store=$address
	for i in $(seq 0 $((count - 1))); do
		node "node-$i" "zone-$((i % 3))"
		addresses+=("$address")
		node_pids+=("$pid")
	done
	write_team 127.0.0.1:1
	apply "${addresses[0]}"
	sleep 3
	local cpu sent reads writes
	cpu=$(cpu_ms "${node_pids[0]}")
	sent=$(metric "${addresses[0]}" peer_bytes_out_total)
	reads=$(metric "$store" reads_total)
	writes=$(metric "$store" writes_total)
	sleep "$seconds"
	printf '{"idle_nodes": %s, "seconds": %s, "cpu_ms": %s, ' "$count" \
	    "$seconds" "$(awk -v a="$cpu" -v b="$(cpu_ms "${node_pids[0]}")" \
	    'BEGIN {print b - a}')"
	printf '"peer_bytes_sent": %s, "store_reads": %s, ' \
	    "$(($(metric "${addresses[0]}" peer_bytes_out_total) - sent))" \
	    "$(($(metric "$store" reads_total) - reads))"
	printf '"store_writes": %s, "resident_kb": %s}\n' \
	    "$(($(metric "$store" writes_total) - writes))" \
	    "$(resident_kb "${node_pids[0]}")"
	end_all
}

measure_path
for count in 3 12 48; do
	measure_idle "$count"
done
