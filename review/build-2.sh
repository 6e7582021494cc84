#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, into target/review-2/.
# Run it after the build of the deploy file, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
libraries=(libuv glib-2.0 jansson libcurl msgpack log4c argtable2 libxxhash
    libh2o openssl)
mkdir -p "$out"
cmake --build target -j4 --target standin-platform
cp target/standin-platform "$out/standin-platform"
# The project's stand-in, with a store that counts its eras from 0.
sed 's/^static int64_t era = 1;.*/static int64_t era = 0;/' \
    standins/standin_platform.c >"$out/standin_platform_era_0.c"
# shellcheck disable=SC2046
cc -std=gnu11 -O1 -D_GNU_SOURCE -DPAPAYA_VERSION='"0"' -Isrc -Iplatform \
    -Istandins $(pkg-config --cflags "${libraries[@]}") \
    -o "$out/standin-platform-era-0" "$out/standin_platform_era_0.c" \
    standins/standin.c target/libpapaya.a \
    $(pkg-config --libs "${libraries[@]}") -lhttp_parser -lm -pthread
for name in moved_twice frozen_reset usage_again id_crash; do
	cc -std=gnu11 -O1 -g -Wall -Wextra -Werror -D_GNU_SOURCE -pthread \
	    -o "$out/$name" "review/standins-2/$name.c" \
	    review/standins-2/engine.c review/standins-2/fleet.c
done
