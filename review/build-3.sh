#!/usr/bin/env bash
# Builds the programs that the scripts review/11 to review/15 start, besides
# target/papayad, into build-review-3/. Needs gcc and libjansson-dev.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
for folder in review/1[1-5]; do
	[ -f "$folder/case.c" ] || continue
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra -Wno-unused-parameter \
	    -pthread -o "$out/case-${folder##*/}" "$folder/case.c" \
	    review/kit-3/kit.c review/kit-3/store.c -ljansson
done
