#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into review/build/. The programs
# of the deploy file are built before, by its own build line.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B review/build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build review/build -j4 --target standin-platform
for program in backend caller operator; do
	cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -pthread \
	    -o "review/build/$program" \
	    "review/standins/$program.c" review/standins/net.c
done
