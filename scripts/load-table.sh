#!/usr/bin/env bash
# Tables of who was served, late, refused or failed, from the request.ended
# lines of the logs of all nodes: by route, by workspace, by server and by cause,
# largest loss first. Attempts count, not callers: one that returns counts again.
# Usage: load-table.sh LOG [ROUTE=OBJECTIVE_MS]...
#	A response is late where its first byte came after the objective; without
#	one it counts as served.
set -euo pipefail
[ $# -ge 1 ] || {
	sed -n 's/^# \{0,1\}//p' "$0" | sed -n '2,$p' >&2
	exit 2
}
log=$1
shift
grep -h 'request\.ended ' "$log" | awk -v objectives="$*" '
function value(name,    start, rest) {
	start = index($0, " " name "=")
	if (start == 0)
		return ""
	rest = substr($0, start + length(name) + 2)
	if (substr(rest, 1, 1) == "\"")
		return substr(rest, 2, index(substr(rest, 2), "\"") - 1)
	sub(/ .*/, "", rest)
	return rest
}
function outcome(status, first, objective) {
	if (status == 0)
		return "left"
	if (status == 429 || status == 503 || status == 408 || status == 421)
		return "refused"
	if (status >= 400)
		return "failed"
	return objective + 0 > 0 && first + 0 > objective + 0 ? "late" : "served"
}
function add(table, name, result) {
	if (name == "")
		name = "-"
	names[table, name] = 1
	count[table, name, result]++
	count[table, name, "offered"]++
	if (result != "served")
		lost[table, name]++
}
function show(table,    key, part, command) {
	printf "\n%-28s %8s %8s %8s %8s %8s %8s\n", table, "offered",
	    "served", "late", "refused", "failed", "left"
	command = "sort -s -k1,1nr | head -n 16 | cut -f2-"
	for (key in names) {
		split(key, part, SUBSEP)
		if (part[1] != table)
			continue
		printf "%d\t%-28s %8d %8d %8d %8d %8d %8d\n",
		    lost[table, part[2]], part[2],
		    count[table, part[2], "offered"],
		    count[table, part[2], "served"],
		    count[table, part[2], "late"],
		    count[table, part[2], "refused"],
		    count[table, part[2], "failed"],
		    count[table, part[2], "left"] | command
	}
	close(command)
}
BEGIN {
	pairs = split(objectives, pair, " ")
	for (i = 1; i <= pairs; i++) {
		split(pair[i], part, "=")
		objective[part[1]] = part[2]
	}
}
{
	route = value("route")
	status = value("status")
	result = outcome(status + 0, value("first_ms"), objective[route])
	add("route", route, result)
	add("workspace", value("workspace"), result)
	add("server", value("server"), result)
	if (result != "served")
		add("cause", status " " value("cause"), result)
}
END {
	show("route")
	show("cause")
	show("workspace")
	show("server")
}'
