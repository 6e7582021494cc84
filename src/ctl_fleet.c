#include "clock.h"
#include "ctl.h"
#include "json.h"

#include <stdio.h>
#include <string.h>

enum {
	POLL_MS = 200,
	MS_PER_S = 1000,
	/* Time to wait for a move's outcome after its deadline. */
	MOVE_GRACE_MS = 15000,
};

static ctl_reply_t *
get_reply(ctl_t *ctl, const char *path)
{
	ctl_request_t request = {.path = path, .idempotent = true};

	return ctl_client_call(ctl->client, &request);
}

static const json_t *
reply_nodes(const ctl_reply_t *reply)
{
	return json_object_get(reply->json, "nodes");
}

static bool
has_left(const json_t *node)
{
	return strcmp(json_get_string(node, "state", ""), "gone") == 0;
}

/*
 * Counts the nodes where the revision is not in effect yet, and sets the name
 * of the last of them. -1 if no node is known.
 */
static int
count_nodes_behind(const ctl_t *ctl, const json_t *nodes, int64_t revision,
    const char **behind_node)
{
	int behind = 0, known_nodes = 0;
	const json_t *node;
	size_t i;

	json_array_foreach (nodes, i, node) {
		const json_t *revisions = json_object_get(node, "revisions");

		if (has_left(node))
			continue;
		known_nodes++;
		if (json_get_int(revisions, ctl->team, 0) >= revision)
			continue;
		behind++;
		*behind_node = json_get_string(node, "node", "");
	}
	return known_nodes == 0 ? -1 : behind;
}

bool
ctl_wait_in_effect(ctl_t *ctl, int64_t revision)
{
	int64_t deadline_ms =
	    clock_mono_ms() + (int64_t)ctl->wait_timeout_s * MS_PER_S;

	for (;;) {
		ctl_reply_t *reply = get_reply(ctl, "/v1/admin/nodes");
		const char *behind_node = "";
		int behind = count_nodes_behind(
		    ctl, reply_nodes(reply), revision, &behind_node);

		if (ctl_reply_ok(reply) && behind == 0) {
			ctl_reply_free(reply);
			return true;
		}
		if (clock_mono_ms() >= deadline_ms) {
			if (!ctl_reply_ok(reply))
				ctl_print_failure(reply);
			ctl_error("revision %" G_GINT64_FORMAT
				  " of team %s is applied, but not known to "
				  "be in effect at %d nodes, such as \"%s\"; "
				  "look with papayactl nodes",
			    revision, ctl->team, behind, behind_node);
			ctl_reply_free(reply);
			return false;
		}
		ctl_reply_free(reply);
		ctl_client_sleep(ctl->client, POLL_MS);
	}
}

static void
print_node(const json_t *node)
{
	const char *state = json_get_string(node, "state", "");
	const json_t *revisions = json_object_get(node, "revisions");
	const char *team;
	json_t *revision;

	printf("%s\t%s\t%s\t%s%s", json_get_string(node, "node", ""),
	    json_get_string(node, "zone", ""),
	    json_get_string(node, "http", ""), state,
	    json_get_bool(node, "draining", false) ? ",draining" : "");
	json_object_foreach ((json_t *)revisions, team, revision)
		printf("\t%s=%" JSON_INTEGER_FORMAT, team,
		    json_integer_value(revision));
	putchar('\n');
}

ctl_exit_t
ctl_nodes(ctl_t *ctl)
{
	ctl_reply_t *reply = get_reply(ctl, "/v1/admin/nodes");
	ctl_exit_t code = CTL_OK;
	const json_t *node;
	size_t i;

	if (!ctl_reply_ok(reply))
		code = ctl_print_failure(reply);
	else if (ctl->json)
		ctl_print_json(reply->json);
	else
		json_array_foreach (reply_nodes(reply), i, node)
			print_node(node);
	ctl_reply_free(reply);
	return code;
}

/*
 * IP:PORT of a node by name, to be freed with g_free(). On failure, prints an
 * error, sets the exit code and returns NULL.
 */
static char *
find_node_address(ctl_t *ctl, const char *name, ctl_exit_t *code)
{
	ctl_reply_t *reply = get_reply(ctl, "/v1/admin/nodes");
	const json_t *node;
	char *address = NULL;
	size_t i;

	*code = CTL_FAILED;
	if (!ctl_reply_ok(reply)) {
		*code = ctl_print_failure(reply);
		ctl_reply_free(reply);
		return NULL;
	}
	json_array_foreach (reply_nodes(reply), i, node)
		if (!has_left(node) &&
		    strcmp(json_get_string(node, "node", ""), name) == 0)
			address = g_strdup(json_get_string(node, "http", ""));
	if (address == NULL)
		ctl_error("no node \"%s\" is known; see papayactl nodes", name);
	ctl_reply_free(reply);
	return address;
}

ctl_exit_t
ctl_drain(ctl_t *ctl)
{
	json_t *body = json_pack("{s:s}", "node", ctl->operand);
	ctl_request_t request = {.method = "POST",
	    .path = "/v1/admin/drain",
	    .body = body,
	    .idempotent = true};
	ctl_exit_t code;
	char *address = find_node_address(ctl, ctl->operand, &code);
	ctl_reply_t *reply;

	if (address != NULL) {
		reply = ctl_client_call_node(ctl->client, address, &request);
		code = ctl_reply_ok(reply) ? CTL_OK : ctl_print_failure(reply);
		if (code == CTL_OK && ctl->json)
			ctl_print_json(reply->json);
		else if (code == CTL_OK)
			printf("draining: %s\n", ctl->operand);
		ctl_reply_free(reply);
	}
	g_free(address);
	json_decref(body);
	return code;
}

ctl_exit_t
ctl_report(ctl_t *ctl)
{
	static const char *const formats[] = {"text", "json", "html", NULL};
	ctl_exit_t code = CTL_OK;
	ctl_reply_t *reply;
	char *path;

	if (!g_strv_contains(formats, ctl->format)) {
		ctl_error("--format: \"%s\" is unknown; use text, json or html",
		    ctl->format);
		return CTL_USAGE;
	}
	path = g_strconcat(
	    "/v1/admin/report?scope=all&format=", ctl->format, NULL);
	reply = get_reply(ctl, path);
	g_free(path);
	if (ctl_reply_ok(reply)) {
		fputs(reply->body, stdout);
		if (!g_str_has_suffix(reply->body, "\n"))
			putchar('\n');
	} else {
		code = ctl_print_failure(reply);
	}
	ctl_reply_free(reply);
	return code;
}

/* Splits the operand TEAM/NAME; a plain NAME needs --team. */
static bool
split_service(const ctl_t *ctl, char **team, char **name)
{
	const char *slash = strchr(ctl->operand, '/');

	if (slash != NULL) {
		*team = g_strndup(ctl->operand, (gsize)(slash - ctl->operand));
		*name = g_strdup(slash + 1);
		return true;
	}
	if (ctl->team == NULL) {
		ctl_error("\"%s\" names no team; write TEAM/NAME or give "
			  "--team",
		    ctl->operand);
		return false;
	}
	*team = g_strdup(ctl->team);
	*name = g_strdup(ctl->operand);
	return true;
}

static void
print_move(const ctl_t *ctl, const json_t *move)
{
	if (ctl->json) {
		ctl_print_json(move);
		return;
	}
	printf("%s\t%s -> %s\t%s\tshare=%g\tdeadline_ms=%" G_GINT64_FORMAT
	       "\t%s\n",
	    json_get_string(move, "id", ""), json_get_string(move, "from", ""),
	    json_get_string(move, "to", ""), json_get_string(move, "state", ""),
	    json_get_double(move, "share", 0),
	    json_get_int(move, "deadline_ms", 0),
	    json_get_string(move, "reason", ""));
}

static ctl_exit_t
post_move(ctl_t *ctl, const char *team, const char *service)
{
	json_t *body = json_pack("{s:s,s:s,s:s,s:I}", "team", team, "service",
	    service, "to", ctl->to_version, "within_ms",
	    (json_int_t)ctl->within_s * MS_PER_S);
	ctl_request_t request = {
	    .method = "POST", .path = "/v1/admin/moves", .body = body};
	ctl_reply_t *reply = ctl_client_call(ctl->client, &request);
	ctl_exit_t code = CTL_OK;

	if (ctl_reply_ok(reply)) {
		print_move(ctl, reply->json);
	} else {
		code = ctl_print_failure(reply);
		if (!ctl_reply_not_run(reply))
			ctl_error("the move may have started; look with "
				  "papayactl move status");
	}
	ctl_reply_free(reply);
	json_decref(body);
	return code;
}

ctl_exit_t
ctl_move_start(ctl_t *ctl)
{
	char *team, *service;
	ctl_exit_t code;

	if (ctl->to_version == NULL || ctl->within_s < 1) {
		ctl_error("--to VERSION and --within SECONDS (1 or more) are "
			  "required; see papayactl --help");
		return CTL_USAGE;
	}
	if (!split_service(ctl, &team, &service))
		return CTL_USAGE;
	code = post_move(ctl, team, service);
	g_free(team);
	g_free(service);
	return code;
}

static ctl_exit_t
move_exit_code(const char *state)
{
	if (strcmp(state, "finished") == 0)
		return CTL_OK;
	if (strcmp(state, "taken_back") == 0)
		return CTL_ROLLED_BACK;
	return CTL_UNDECIDED;
}

/* State of a move as read by one poll. */
typedef struct move_status {
	ctl_exit_t code;
	bool final; /* the move is decided, or the request failed with 4xx */
	int64_t remaining_ms; /* to the deadline plus grace; 0 if unknown */
} move_status_t;

static move_status_t
read_move_status(const ctl_reply_t *reply)
{
	const char *state = json_get_string(reply->json, "state", "");
	move_status_t status = {.code = CTL_UNDECIDED};

	if (ctl_reply_ok(reply)) {
		status.code = move_exit_code(state);
		status.final = status.code != CTL_UNDECIDED;
		status.remaining_ms =
		    json_get_int(reply->json, "deadline_ms", 0) +
		    MOVE_GRACE_MS - clock_wall_ms();
	} else if (reply->outcome == HTTP_OUTCOME_COMPLETE &&
		   reply->status < 500) {
		status.code = CTL_FAILED;
		status.final = true;
	}
	return status;
}

/*
 * Prints a move's state; with --wait, polls until it is decided. A move that
 * is not decided by its deadline plus grace, or by --timeout if that is later,
 * counts as undecided, and so does one whose state cannot be read. A 4xx
 * response is a failure and ends the polling.
 */
static ctl_exit_t
poll_move(ctl_t *ctl, const char *path)
{
	int64_t deadline_ms =
	    clock_mono_ms() + (int64_t)ctl->wait_timeout_s * MS_PER_S;
	ctl_reply_t *reply;
	move_status_t status;

	for (;;) {
		reply = get_reply(ctl, path);
		status = read_move_status(reply);
		deadline_ms =
		    MAX(deadline_ms, clock_mono_ms() + status.remaining_ms);
		if (status.final || !ctl->wait ||
		    clock_mono_ms() >= deadline_ms)
			break;
		ctl_reply_free(reply);
		ctl_client_sleep(ctl->client, POLL_MS);
	}
	if (ctl_reply_ok(reply))
		print_move(ctl, reply->json);
	else
		ctl_print_failure(reply);
	ctl_reply_free(reply);
	return status.code;
}

ctl_exit_t
ctl_move_status(ctl_t *ctl)
{
	char *team, *service, *path;
	ctl_exit_t code;

	if (!split_service(ctl, &team, &service))
		return CTL_USAGE;
	path = g_strconcat("/v1/admin/moves/", team, "/", service, NULL);
	code = poll_move(ctl, path);
	g_free(path);
	g_free(team);
	g_free(service);
	return code;
}
