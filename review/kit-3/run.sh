# Sourced by the run.sh of a case: runs its program, which is the store, the
# servers and the clients, and starts the nodes. Exits with 0: the rule held,
# 1: it was broken, 2: the case could not run.
folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$folder/../.." || exit 2
program=build-review-3/case-${folder##*/}
if [ ! -x target/papayad ] || [ ! -x "$program" ]; then
	echo "run the build of the deploy file and review/build-3.sh first" >&2
	exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 2 110 "$program" "$folder/record.txt" "$work" "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
