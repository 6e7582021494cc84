#!/usr/bin/env bash
# Checks every model/*.pml with spin: no assertion is violated, no state blocks,
# each ltl property holds; and each mutant is rejected. The first lines of a
# model may be:
#   /* mutants: MACRO=VALUE ... */       one check each, which must fail
#   /* sizes: A=1,B=2 A=2,B=1 ... */     macros of the checks for safety
#   /* liveness: A=1,B=1 */              macros of the checks of ltl properties
# Usage: model.sh [MODEL...]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
depth=100000
cd "$scratch"

header() { # NAME FILE
	sed -n "1,5s|^/\* $1: \(.*\) \*/|\1|p" "$2"
}

# Compiles a verifier. Macros are separated by commas or spaces.
verifier() { # FILE MACROS CFLAGS...
	local file=$1 macro macros=()
	for macro in ${2//,/ }; do
		macros+=("-D$macro")
	done
	shift 2
	rm -f pan pan.* ./*.trail
	spin -a "${macros[@]}" "$file" >spin.log 2>&1 || {
		cat spin.log
		exit 1
	}
	gcc -O2 -w -DNFAIR=8 "$@" -o pan pan.c
}

# Runs the verifier. Prints its counts; fails on an error or a cut search.
verify() { # ARGUMENT...
	./pan -m$depth -w23 "$@" >pan.log 2>&1 || true
	if ! grep -q 'errors: 0' pan.log ||
	    grep -q 'max search depth too small\|out of memory' pan.log; then
		return 1
	fi
	sed -n 's/^ *\([0-9]*\) states, stored.*/\1 states/p' pan.log
}

check_safety() { # FILE MACROS
	verifier "$1" "$2" -DSAFETY -DNOCLAIM
	verify
}

check_liveness() { # FILE MACROS PROPERTY
	verifier "$1" "$2"
	verify -a -f -N "$3"
}

report_failure() { # WHAT
	grep '^pan:\|max search' pan.log || tail -5 pan.log
	echo "model: $1 failed"
	exit 1
}

check_model() { # FILE
	local file=$1 name sizes live properties size property mutant counts
	name=$(basename "$file")
	sizes=$(header sizes "$file")
	live=$(header liveness "$file")
	properties=$(sed -n 's/^ltl \([a-z_0-9]*\).*/\1/p' "$file")
	for size in ${sizes:-default}; do
		counts=$(check_safety "$file" "${size#default}") ||
		    report_failure "$name $size"
		echo "model: $name safety, $size: $counts"
	done
	for property in $properties; do
		counts=$(check_liveness "$file" "$live" "$property") ||
		    report_failure "$name $property"
		echo "model: $name $property, ${live:-default}: $counts"
	done
	for mutant in $(header mutants "$file"); do
		check_mutant "$file" "$mutant" "${sizes%% *}" "$live" \
		    "$properties"
	done
}

# A mutant is rejected by the first size or by a property.
check_mutant() { # FILE MUTANT SIZE LIVE PROPERTIES
	local name property
	name=$(basename "$1")
	if ! check_safety "$1" "$2,$3" >/dev/null; then
		require_error "$name $2"
		echo "model: $name rejects $2: $(sed -n 's/^pan:1: //p' pan.log)"
		return
	fi
	for property in $5; do
		if ! check_liveness "$1" "$2,$4" "$property" >/dev/null; then
			require_error "$name $2"
			echo "model: $name rejects $2: $property"
			return
		fi
	done
	echo "model: $name does not reject the mutant $2"
	exit 1
}

# The failure is a violation, and not a model that cannot be checked.
require_error() { # WHAT
	grep -q 'errors: [1-9]' pan.log || report_failure "$1"
}

# All models side by side, each with its output in one piece.
check_all() {
	local model jobs=() models=("$root"/model/*.pml) failed=0 i
	for model in "${models[@]}"; do
		"$root/scripts/model.sh" "$model" \
		    >"$scratch/$(basename "$model").log" 2>&1 &
		jobs+=($!)
	done
	for i in "${!models[@]}"; do
		wait "${jobs[$i]}" || failed=1
		cat "$scratch/$(basename "${models[$i]}").log"
	done
	return "$failed"
}

if [ $# -eq 0 ]; then
	check_all
fi
for model in "$@"; do
	check_model "$(cd "$root" && realpath "$model")"
done
