#!/usr/bin/env bash
# Looks for inputs of the parsers that cost more than a number of steps a byte
# (fuzz/cost.c). Without an argument: the corpus and a fixed number of runs from
# a fixed seed. Usage: fuzz-cost.sh [SECONDS [TARGET...]]; with SECONDS: that
# time per target.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=build-cost
seconds=${1:-}
shift || true
targets=("$@")
[ ${#targets[@]} -gt 0 ] || targets=(fuzz_events fuzz_http1 fuzz_stream)
bound=(-runs=10000)
[ -z "$seconds" ] || bound=(-max_total_time="$seconds")
limits=(-seed=1 -max_len=16384 -len_control=0 -timeout=20 -rss_limit_mb=2048)
{
	cmake -S . -B "$folder" -G Ninja -DCMAKE_C_COMPILER=clang \
	    -DPAPAYA_FUZZ=ON -DPAPAYA_COST=ON &&
	    cmake --build "$folder" --target "${targets[@]}"
} >build-cost.log 2>&1 || {
	cat build-cost.log
	exit 1
}
rm -f build-cost.log

run_target() { # TARGET
	local scratch
	scratch=$(mktemp -d)
	mkdir -p "fuzz/corpus/$1"
	COST_REPORT=1 "$folder/$1" "${limits[@]}" "${bound[@]}" \
	    -artifact_prefix="$folder/" "$scratch" "fuzz/corpus/$1" \
	    >"$scratch.log" 2>&1 || {
		tail -20 "$scratch.log"
		echo "fuzz-cost: $1 failed"
		return 1
	}
	echo "fuzz-cost: $1: $(grep '^cost:' "$scratch.log" | tail -n 1)," \
	    "$(grep '^Done' "$scratch.log")"
	rm -rf "$scratch" "$scratch.log"
}

jobs=()
for target in "${targets[@]}"; do
	run_target "$target" &
	jobs+=($!)
done
failed=0
for job in "${jobs[@]}"; do
	wait "$job" || failed=1
done
exit "$failed"
