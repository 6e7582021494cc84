# Starting and ending the processes of a run; sourced by the other scripts.
# Sets $work, a scratch folder. The caller sets $bin, the build folder.
work=$(mktemp -d)
pids=()

# Ends every process that start() has started, by pid.
end_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
	pids=()
}

# start NAME PROGRAM ARG...: runs a program that prints "listening ADDRESS";
# sets $address and $pid.
start() {
	local name=$1
	shift
	: >"$work/$name.out"
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	pid=$!
	pids+=("$pid")
	for _ in $(seq 200); do
		address=$(sed -n 's/^listening //p' "$work/$name.out")
		[ -n "$address" ] && return 0
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.02
	done
	echo "$name did not start" >&2
	return 1
}
