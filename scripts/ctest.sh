#!/usr/bin/env bash
# Runs ctest. Passes where every case that fails is listed in KNOWN-RED.txt, and
# prints those cases. Usage: ctest.sh CTEST-ARGUMENT...
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ctest --output-on-failure "$@" >"$log" 2>&1; then
	cat "$log"
	exit 0
fi
cat "$log"
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
# Check prints FILE:LINE:F:TCASE:CASE:..., with E where a case crashed.
failed=$(sed -n 's/^[^ ]*:[0-9]*:[FES]:[a-z0-9_]*:\([a-z0-9_]*\):.*/\1/p' "$log")
programs=$(grep -c '\*\*\*' "$log" || true)
explained=$(awk '/\*\*\*/ {open = 1}
    /^[^ ]*:[0-9]+:[FES]:/ {if (open) {count++; open = 0}}
    END {print count + 0}' "$log")
if [ -z "$failed" ] || [ "$explained" -lt "$programs" ]; then
	echo "ctest: a program failed without naming a case"
	exit 1
fi
for case in $failed; do
	if ! grep -qx "$case" <<<"$known"; then
		echo "ctest: $case failed and is not in KNOWN-RED.txt"
		exit 1
	fi
	echo "ctest: known red, passed over: $case"
done
