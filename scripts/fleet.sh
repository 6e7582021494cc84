# Starts a small fleet of stand-ins and entry hosts in three availability zones
# and applies a settings tree; sourced after processes.sh. The caller sets $bin,
# $seed, fail(), and fleet_versions, the versions of the six engines. Sets
# $store, $cloud, engines, services, entries, entry_pids, entry_args and ctl().
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

# Declares a backend server and makes its host known to the cloud.
backend() { # NAME ADDRESS ZONE SERVICE VERSION
	cat >"$work/team/backends/$1.json" <<JSON
{"address": "$2", "host": "host-$1", "zone": "$3", "class": "a",
 "service": "$4", "version": "$5", "price_per_hour": 1.0,
 "reclaimable": true, "fencing": "checked"}
JSON
	curl -sf -o "$work/host.out" "http://$cloud/v1/hosts" \
	    -d "{\"host\": \"host-$1\", \"zone\": \"$3\", \"class\": \"a\",
	    \"reclaimable\": true}"
}
zones=(zone-a zone-b zone-c)
engines=()
for i in 0 1 2 3 4 5; do
	zone=${zones[$((i % 3))]}
	version=${fleet_versions[$i]}
	start "engine-$i" "$bin/standin-engine" --name "engine-$i" \
	    --model-version "$version" --seed $((seed + i)) \
	    --faults '{"token_ms": 5}'
	engines+=("$address")
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
