#!/usr/bin/env bash
# Fuzzes every target. Without an argument: the corpus and a fixed number of
# runs from a fixed seed, and each mutant that a target names must be caught.
# Usage: fuzz.sh [SECONDS]; with SECONDS: that time per target, new inputs are
# added to the corpus.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-}
runs=15000
mutant_runs=60000
limits=(-seed=1 -max_len=1024 -len_control=0 -timeout=20 -rss_limit_mb=2048)
scripts/build.sh build-fuzz -DCMAKE_C_COMPILER=clang -DPAPAYA_FUZZ=ON \
    -DPAPAYA_SANITIZE=ON >build-fuzz.log 2>&1 || {
	cat build-fuzz.log
	exit 1
}
rm -f build-fuzz.log
libraries=$(pkg-config --cflags --libs libuv glib-2.0 jansson libcurl \
    msgpack log4c argtable2 libxxhash libh2o openssl)
flags="-g -O1 -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -fsanitize=fuzzer,address,undefined"

# Compiles one source with the mutant and links it ahead of the library.
build_mutant() { # SOURCE MACRO TARGET PROGRAM
	# shellcheck disable=SC2086
	clang $flags -D"$2" -DPAPAYA_VERSION='""' -Isrc "$1" "fuzz/$3.c" \
	    build-fuzz/libpapaya.a $libraries -lm -o "$4"
}

# The first comment of a target may be: /* mutants of SOURCE: MACRO=VALUE ... */;
# it then prints "violated: CONDITION" where its oracle finds a fault.
check_mutants() { # TARGET
	local header source macro program scratch
	# The first comment, which the formatter may have wrapped.
	header=$(sed '/\*\//q' "fuzz/$1.c" | tr -s '\n\t ' ' ')
	[[ $header == "/* mutants of "* ]] || return 0
	header=${header#"/* mutants of "}
	header=${header%\*/*}
	source=${header%%:*}
	for macro in $(tr -d '*' <<<"${header#*:}"); do
		program=build-fuzz/$1-$macro
		scratch=$(mktemp -d)
		build_mutant "$source" "$macro" "$1" "$program"
		if "$program" "${limits[@]}" -runs=$mutant_runs \
		    -artifact_prefix="$scratch/" "$scratch" "fuzz/corpus/$1" \
		    >"$scratch.log" 2>&1; then
			echo "fuzz: $1 does not catch the mutant $macro"
			exit 1
		fi
		grep -q '^violated:' "$scratch.log" || {
			tail -20 "$scratch.log"
			echo "fuzz: $1 failed on $macro for another reason"
			exit 1
		}
		echo "fuzz: $1 catches $macro: $(grep -m1 '^violated:' "$scratch.log")"
		rm -rf "$scratch" "$scratch.log"
	done
}

check_target() { # TARGET
	local target=$1 scratch
	scratch=$(mktemp -d)
	build-fuzz/"$target" "${limits[@]}" -runs=$runs \
	    -artifact_prefix=build-fuzz/artifacts/ "$scratch" \
	    "fuzz/corpus/$target" >"$scratch.log" 2>&1 || {
		tail -40 "$scratch.log"
		echo "fuzz: $target failed"
		exit 1
	}
	echo "fuzz: $target: $(grep '^Done' "$scratch.log")"
	rm -rf "$scratch" "$scratch.log"
	check_mutants "$target"
}

mkdir -p build-fuzz/artifacts build-fuzz/logs
targets=()
for source in fuzz/fuzz_*.c; do
	target=$(basename "$source" .c)
	targets+=("$target")
	mkdir -p "fuzz/corpus/$target"
done
if [ -n "$seconds" ]; then
	for target in "${targets[@]}"; do
		build-fuzz/"$target" "${limits[@]}" -max_total_time="$seconds" \
		    -artifact_prefix=build-fuzz/artifacts/ "fuzz/corpus/$target"
	done
	exit 0
fi
jobs=()
for target in "${targets[@]}"; do
	check_target "$target" >"build-fuzz/logs/$target" 2>&1 &
	jobs+=($!)
done
failed=0
for i in "${!targets[@]}"; do
	wait "${jobs[$i]}" || failed=1
	cat "build-fuzz/logs/${targets[$i]}"
done
exit "$failed"
