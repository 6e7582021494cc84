#!/usr/bin/env bash
# Configures and builds one build folder. Usage: build.sh FOLDER [CMAKE-OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >"/tmp/cmake.$$.log" 2>&1 || {
	cat "/tmp/cmake.$$.log"
	exit 1
}
rm -f "/tmp/cmake.$$.log"
cmake --build "$folder" -- -k 0
