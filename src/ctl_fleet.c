#include "clock.h"
#include "ctl.h"
#include "json.h"

#include <stdio.h>
#include <string.h>

enum {
	POLL_MS = 200,
	MS_PER_S = 1000,
	/* After a move's deadline, until its end must be known. */
	MOVE_GRACE_MS = 15000,
};

static ctl_reply_t *
get(ctl_t *ctl, const char *path)
{
	ctl_request_t request = {.path = path, .repeatable = true};

	return ctl_client_call(ctl->client, &request);
}

static const json_t *
nodes_of(const ctl_reply_t *reply)
{
	return json_object_get(reply->json, "nodes");
}

static bool
is_gone(const json_t *node)
{
	return strcmp(json_get_string(node, "state", ""), "gone") == 0;
}

/* Nodes where the revision is not in effect yet; -1 if no node is known. */
static int
count_behind(
    const ctl_t *ctl, const json_t *nodes, int64_t revision, const char **name)
{
	int behind = 0, known = 0;
	const json_t *node;
	size_t i;

	json_array_foreach (nodes, i, node) {
		const json_t *revisions = json_object_get(node, "revisions");

		if (is_gone(node))
			continue;
		known++;
		if (json_get_int(revisions, ctl->team, 0) >= revision)
			continue;
		behind++;
		*name = json_get_string(node, "node", "");
	}
	return known == 0 ? -1 : behind;
}

bool
ctl_wait_in_effect(ctl_t *ctl, int64_t revision)
{
	int64_t until_ms = clock_mono_ms() + (int64_t)ctl->timeout_s * MS_PER_S;

	for (;;) {
		ctl_reply_t *reply = get(ctl, "/v1/admin/nodes");
		const char *name = "";
		int behind =
		    count_behind(ctl, nodes_of(reply), revision, &name);

		if (ctl_reply_ok(reply) && behind == 0) {
			ctl_reply_free(reply);
			return true;
		}
		if (clock_mono_ms() >= until_ms) {
			if (!ctl_reply_ok(reply))
				ctl_refused(reply);
			ctl_error("revision %" G_GINT64_FORMAT
				  " of team %s is applied, but not known to "
				  "be in effect at %d nodes, such as \"%s\"; "
				  "look with papayactl nodes",
			    revision, ctl->team, behind, name);
			ctl_reply_free(reply);
			return false;
		}
		ctl_reply_free(reply);
		ctl_client_pause(ctl->client, POLL_MS);
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
	ctl_reply_t *reply = get(ctl, "/v1/admin/nodes");
	ctl_exit_t code = CTL_OK;
	const json_t *node;
	size_t i;

	if (!ctl_reply_ok(reply))
		code = ctl_refused(reply);
	else if (ctl->json)
		ctl_print_json(reply->json);
	else
		json_array_foreach (nodes_of(reply), i, node)
			print_node(node);
	ctl_reply_free(reply);
	return code;
}

/* Address of a node by name, for g_free(); prints why there is none. */
static char *
address_of(ctl_t *ctl, const char *name, ctl_exit_t *code)
{
	ctl_reply_t *reply = get(ctl, "/v1/admin/nodes");
	const json_t *node;
	char *address = NULL;
	size_t i;

	*code = CTL_FAILED;
	if (!ctl_reply_ok(reply)) {
		*code = ctl_refused(reply);
		ctl_reply_free(reply);
		return NULL;
	}
	json_array_foreach (nodes_of(reply), i, node)
		if (!is_gone(node) &&
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
	    .repeatable = true};
	ctl_exit_t code;
	char *address = address_of(ctl, ctl->operand, &code);
	ctl_reply_t *reply;

	if (address != NULL) {
		reply = ctl_client_call_at(ctl->client, address, &request);
		code = ctl_reply_ok(reply) ? CTL_OK : ctl_refused(reply);
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
	reply = get(ctl, path);
	g_free(path);
	if (ctl_reply_ok(reply)) {
		fputs(reply->text, stdout);
		if (!g_str_has_suffix(reply->text, "\n"))
			putchar('\n');
	} else {
		code = ctl_refused(reply);
	}
	ctl_reply_free(reply);
	return code;
}

/* Splits TEAM/NAME, or takes NAME with --team. */
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
	    service, "to", ctl->to, "within_ms",
	    (json_int_t)ctl->within_s * MS_PER_S);
	ctl_request_t request = {
	    .method = "POST", .path = "/v1/admin/moves", .body = body};
	ctl_reply_t *reply = ctl_client_call(ctl->client, &request);
	ctl_exit_t code = CTL_OK;

	if (ctl_reply_ok(reply)) {
		print_move(ctl, reply->json);
	} else {
		code = ctl_refused(reply);
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

	if (ctl->to == NULL || ctl->within_s < 1) {
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
move_exit(const char *state)
{
	if (strcmp(state, "finished") == 0)
		return CTL_OK;
	if (strcmp(state, "taken_back") == 0)
		return CTL_TAKEN_BACK;
	return CTL_UNDECIDED;
}

/* One look at a move. */
typedef struct look {
	ctl_exit_t code;
	bool over;	 /* decided, or refused */
	int64_t left_ms; /* until the end must be known; 0 if it is unknown */
} look_t;

static look_t
look_at_move(const ctl_reply_t *reply)
{
	const char *state = json_get_string(reply->json, "state", "");
	look_t look = {.code = CTL_UNDECIDED};

	if (ctl_reply_ok(reply)) {
		look.code = move_exit(state);
		look.over = look.code != CTL_UNDECIDED;
		look.left_ms = json_get_int(reply->json, "deadline_ms", 0) +
			       MOVE_GRACE_MS - clock_wall_ms();
	} else if (reply->outcome == HTTP_OUTCOME_COMPLETE &&
		   reply->status < 500) {
		look.code = CTL_FAILED;
		look.over = true;
	}
	return look;
}

/*
 * Follows a move until it is decided. Without an answer, or past the deadline
 * and its grace, the move counts as undecided.
 */
static ctl_exit_t
follow_move(ctl_t *ctl, const char *path)
{
	int64_t until_ms = clock_mono_ms() + (int64_t)ctl->timeout_s * MS_PER_S;
	ctl_reply_t *reply;
	look_t look;

	for (;;) {
		reply = get(ctl, path);
		look = look_at_move(reply);
		until_ms = MAX(until_ms, clock_mono_ms() + look.left_ms);
		if (look.over || !ctl->wait || clock_mono_ms() >= until_ms)
			break;
		ctl_reply_free(reply);
		ctl_client_pause(ctl->client, POLL_MS);
	}
	if (ctl_reply_ok(reply))
		print_move(ctl, reply->json);
	else
		ctl_refused(reply);
	ctl_reply_free(reply);
	return look.code;
}

ctl_exit_t
ctl_move_status(ctl_t *ctl)
{
	char *team, *service, *path;
	ctl_exit_t code;

	if (!split_service(ctl, &team, &service))
		return CTL_USAGE;
	path = g_strconcat("/v1/admin/moves/", team, "/", service, NULL);
	code = follow_move(ctl, path);
	g_free(path);
	g_free(team);
	g_free(service);
	return code;
}
