#!/usr/bin/env bash
# Bookings whose server resets its connection in the middle of an answer that
# has no length. 61 callers, three servers, three entry hosts. TROUBLE=0: no
# answer is reset.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
: >"$record"
# shellcheck source=review/lib.sh
source "$here/../lib.sh"

# For 4 s one of three servers resets every third answer.
every=0
[ "$trouble" = 0 ] || every=3

start_platform
start_backend app-1 app --kind unframed
start_backend app-2 app --kind unframed
start_backend app-3 app --kind unframed --trouble-every "$every" \
    --trouble-ms 4000
configure '[{"name": "book", "host": "t.example", "path_prefix": "/book/",
    "route_type": "non_idempotent", "timeout_ms": 1500, "priority": 2,
    "target_latency_ms": 300, "max_attempts": 1, "service": "app"}]' \
    '[{"name": "app", "max_connections": 400}]'
for k in 0 1 2; do start_host "$k"; done

"$bin/caller" --address "${front_addresses[0]}" \
    --address "${front_addresses[1]}" --address "${front_addresses[2]}" \
    --path /book/a --prefix "book" --callers 61 --requests 7 \
    --pause-ms 1400 >>"$record" || give_up "the callers failed"
record_backends

sent=$(grep -c '^answer ' "$record")
whole=$(grep -c '^answer .* 200 complete .* whole$' "$record")
reset=$(grep -c '^reset ' "$record")
broken=$(grep -c '^answer .* 200 complete .* part$' "$record")
echo "sent $sent, whole answers $whole, answers reset $reset," \
    "cut answers that looked complete $broken" | tee -a "$record"
[ "$whole" -gt 0 ] || give_up "no request was served"
[ "$broken" = 0 ]
