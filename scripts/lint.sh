#!/usr/bin/env bash
# Checks format and lint of every C file. Usage: lint.sh [--fix]; needs build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.c' '*.h')
if [ "${1:-}" = --fix ]; then
	clang-format -i "${files[@]}"
else
	clang-format --dry-run -Werror "${files[@]}"
fi
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.c$' |
    grep -v '^fuzz/')
printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -n 4 clang-tidy -quiet -p build 2>/dev/null
echo "lint: ${#files[@]} files clean"
