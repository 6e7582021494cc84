#!/usr/bin/env bash
# Streams without a length run through three entry hosts; the process of one of
# them is killed (SIGKILL) in the middle of its streams. TROUBLE=0: none is.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
: >"$record"
# shellcheck source=review/lib.sh
source "$here/../lib.sh"

start_platform
for id in e-1 e-2 e-3; do
	start_backend "$id" engine --kind events --events 40 --pace-ms 100
done
configure '[{"name": "write", "host": "t.example", "path_prefix": "/write/",
    "route_type": "streaming", "timeout_ms": 15000, "priority": 1,
    "target_latency_ms": 1000, "gap_aim_ms": 400, "max_attempts": 1,
    "service": "engine"}]' \
    '[{"name": "engine", "max_connections": 360, "engine": {"slots": 64,
    "kv_capacity_tokens": 758657, "moves": false}}]'
for k in 0 1 2; do start_host "$k"; done

"$bin/caller" --address "${front_addresses[0]}" \
    --address "${front_addresses[1]}" --address "${front_addresses[2]}" \
    --path /write/a --prefix stream --callers 30 --requests 1 \
    --deadline-ms 15000 --end 'data: last' >>"$record" &
callers=$!
pids+=("$callers")
sleep 2
if [ "$trouble" != 0 ]; then
	echo "killed ${front_addresses[1]}" >>"$record"
	kill -KILL "${host_pids[1]}"
fi
wait "$callers" || give_up "the callers failed"
record_backends

sent=$(grep -c '^answer ' "$record")
whole=$(grep -c '^answer .* 200 complete .* whole$' "$record")
broken=$(grep -c '^answer .* 200 complete .* part$' "$record")
echo "streams $sent, whole $whole, cut streams that looked complete $broken" |
    tee -a "$record"
[ "$whole" -gt 0 ] || give_up "no stream was served"
[ "$broken" = 0 ]
