#!/usr/bin/env bash
# Runs a test of target/review-2/ for a case. Usage: run-2.sh FOLDER PROGRAM
# The logs of all processes are kept where the environment has KEEP=FOLDER.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
"target/review-2/$2" "$case_folder/record.txt" "$work"
status=$?
if [ -n "${KEEP:-}" ]; then
	mkdir -p "$KEEP" && cp "$work"/* "$KEEP"
fi
rm -rf "$work"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
