#include "ctl.h"

#include "json.h"
#include "settings.h"

#include <argtable2.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	WORDS_MAX = 3,
	DEFAULT_TIMEOUT_S = 60,
	DAY_S = 86400,
};

/* Options that a command accepts (TAKES_*) or requires (NEEDS_*). */
enum {
	TAKES_WAIT = 1 << 0,
	TAKES_MESSAGE = 1 << 1,
	TAKES_AUTHOR = 1 << 2,
	TAKES_REVISION = 1 << 3,
	TAKES_TO = 1 << 4,
	TAKES_WITHIN = 1 << 5,
	TAKES_FORMAT = 1 << 6,
	TAKES_TIMEOUT = 1 << 7,
	NEEDS_NODE = 1 << 8,
	NEEDS_TEAM = 1 << 9,
};

typedef struct command {
	const char *words[2];
	const char *operand;
	const char *usage;
	unsigned flags;
	ctl_exit_t (*run)(ctl_t *ctl);
} command_t;

static const command_t commands[] = {
    {{"validate", NULL}, "DIR", "validate DIR", 0, ctl_validate},
    {{"diff", NULL}, "DIR", "diff DIR --team=TEAM", NEEDS_NODE | NEEDS_TEAM,
	ctl_diff},
    {{"apply", NULL}, "DIR",
	"apply DIR --team=TEAM [--revision=N] [--author=NAME] "
	"[--message=TEXT] [--wait] [--timeout=SECONDS]",
	NEEDS_NODE | NEEDS_TEAM | TAKES_WAIT | TAKES_MESSAGE | TAKES_AUTHOR |
	    TAKES_REVISION | TAKES_TIMEOUT,
	ctl_apply},
    {{"get", NULL}, NULL, "get --team=TEAM", NEEDS_NODE | NEEDS_TEAM, ctl_get},
    {{"history", NULL}, NULL, "history --team=TEAM", NEEDS_NODE | NEEDS_TEAM,
	ctl_history},
    {{"move", "start"}, "SERVICE",
	"move start TEAM/NAME --to=VERSION --within=SECONDS",
	NEEDS_NODE | TAKES_TO | TAKES_WITHIN, ctl_move_start},
    {{"move", "status"}, "SERVICE",
	"move status TEAM/NAME [--wait] [--timeout=SECONDS]",
	NEEDS_NODE | TAKES_WAIT | TAKES_TIMEOUT, ctl_move_status},
    {{"nodes", NULL}, NULL, "nodes", NEEDS_NODE, ctl_nodes},
    {{"drain", NULL}, "NODE", "drain NODE", NEEDS_NODE, ctl_drain},
    {{"report", NULL}, NULL, "report [--format=text|json|html]",
	NEEDS_NODE | TAKES_FORMAT, ctl_report},
};

void
ctl_error(const char *format, ...)
{
	va_list args;

	fputs("papayactl: ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
}

ctl_exit_t
ctl_print_failure(const ctl_reply_t *reply)
{
	const json_t *error = json_object_get(reply->json, "error");
	const char *kind = json_get_string(error, "kind", "");

	if (reply->outcome != HTTP_OUTCOME_COMPLETE) {
		ctl_error("no answer from %s: %s; give a live node with --node",
		    reply->node, reply->error_message);
		return CTL_FAILED;
	}
	if (error == NULL) {
		ctl_error("%s answered with status %ld; is it a papayad of "
			  "this release?",
		    reply->node, reply->status);
		return CTL_FAILED;
	}
	ctl_error("%s: %s; %s", kind, json_get_string(error, "message", ""),
	    json_get_string(error, "remedy", ""));
	if (strcmp(kind, "bad_setting") == 0 ||
	    strcmp(kind, "bad_request") == 0)
		return CTL_USAGE;
	return CTL_FAILED;
}

void
ctl_print_json(const json_t *json)
{
	json_dumpf(json, stdout,
	    JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY |
		JSON_REAL_PRECISION(15));
	putchar('\n');
}

/*
 * Argument table of argtable2. ctl_main() copies it into an array of pointers,
 * so every member is a pointer and end comes last.
 */
typedef struct arguments {
	struct arg_str *words;
	struct arg_str *nodes;
	struct arg_str *team;
	struct arg_lit *json;
	struct arg_lit *wait;
	struct arg_str *message;
	struct arg_str *author;
	struct arg_int *revision;
	struct arg_str *to;
	struct arg_int *within;
	struct arg_str *format;
	struct arg_int *timeout;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
} arguments_t;

enum { ARGUMENT_COUNT = sizeof(arguments_t) / sizeof(void *) };

static arguments_t
arguments_new(void)
{
	return (arguments_t){
	    .words = arg_strn(NULL, NULL, "COMMAND", 0, WORDS_MAX,
		"command and what it is for"),
	    .nodes = arg_strn(NULL, "node", "IP:PORT", 0, 64,
		"node to ask; several are tried in turn"),
	    .team = arg_str0(NULL, "team", "TEAM", "whose settings"),
	    .json = arg_lit0(NULL, "json", "print JSON"),
	    .wait = arg_lit0(
		NULL, "wait", "return once in effect, or the move decided"),
	    .message = arg_str0(NULL, "message", "TEXT", "why this change"),
	    .author =
		arg_str0(NULL, "author", "NAME", "who applies (user name)"),
	    .revision = arg_int0(NULL, "revision", "N",
		"revision that DIR was made from (the present one)"),
	    .to = arg_str0(NULL, "to", "VERSION", "version to move to"),
	    .within = arg_int0(
		NULL, "within", "SECONDS", "deadline of the move from now"),
	    .format =
		arg_str0(NULL, "format", "FORMAT", "text, json or html (text)"),
	    .timeout =
		arg_int0(NULL, "timeout", "SECONDS", "longest time of --wait"),
	    .help = arg_lit0(NULL, "help", "show this help"),
	    .version = arg_lit0(NULL, "version", "show the version"),
	    .end = arg_end(8),
	};
}

static void
print_help(void **table)
{
	printf("papayactl %s\n\n", PAPAYA_VERSION);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		printf("  papayactl %s\n", commands[i].usage);
	putchar('\n');
	arg_print_glossary(stdout, table, "  %-20s %s\n");
	printf("\nExit codes: 0 ok, 1 failed, 2 usage or bad input; move "
	       "status: 0 finished,\n3 taken back, 4 undecided.\n");
}

/*
 * Finds the command that the leading words name, and the number of those words.
 * NULL if there is none.
 */
static const command_t *
find_command(const struct arg_str *words, int *word_count)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const command_t *command = &commands[i];

		*word_count = command->words[1] != NULL ? 2 : 1;
		if (words->count < *word_count ||
		    strcmp(words->sval[0], command->words[0]) != 0)
			continue;
		if (*word_count == 2 &&
		    strcmp(words->sval[1], command->words[1]) != 0)
			continue;
		return command;
	}
	return NULL;
}

static bool
check_operand(
    const command_t *command, const struct arg_str *words, int word_count)
{
	int expected_count = word_count + (command->operand != NULL ? 1 : 0);

	if (words->count == expected_count)
		return true;
	if (words->count < expected_count)
		ctl_error("%s is missing; usage: papayactl %s",
		    command->operand, command->usage);
	else
		ctl_error("\"%s\" is too much; usage: papayactl %s",
		    words->sval[expected_count], command->usage);
	return false;
}

static bool
check_options(const command_t *command, const arguments_t *arguments)
{
	const struct {
		int count;
		unsigned flag;
		const char *name;
	} options[] = {
	    {arguments->wait->count, TAKES_WAIT, "wait"},
	    {arguments->message->count, TAKES_MESSAGE, "message"},
	    {arguments->author->count, TAKES_AUTHOR, "author"},
	    {arguments->revision->count, TAKES_REVISION, "revision"},
	    {arguments->to->count, TAKES_TO, "to"},
	    {arguments->within->count, TAKES_WITHIN, "within"},
	    {arguments->format->count, TAKES_FORMAT, "format"},
	    {arguments->timeout->count, TAKES_TIMEOUT, "timeout"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		if (options[i].count == 0 ||
		    (command->flags & options[i].flag) != 0)
			continue;
		ctl_error("--%s does not belong to this command; usage: "
			  "papayactl %s",
		    options[i].name, command->usage);
		return false;
	}
	if ((command->flags & NEEDS_TEAM) != 0 && arguments->team->count == 0) {
		ctl_error(
		    "--team is missing; usage: papayactl %s", command->usage);
		return false;
	}
	if ((command->flags & NEEDS_NODE) != 0 &&
	    arguments->nodes->count == 0) {
		ctl_error("--node is missing; give the IP:PORT of a node");
		return false;
	}
	return true;
}

static bool
check_values(const arguments_t *arguments)
{
	for (int i = 0; i < arguments->nodes->count; i++) {
		if (address_valid(arguments->nodes->sval[i]))
			continue;
		ctl_error("--node: \"%s\" is not an address; write IP:PORT",
		    arguments->nodes->sval[i]);
		return false;
	}
	if (arguments->revision->count > 0 &&
	    arguments->revision->ival[0] < 0) {
		ctl_error("--revision: %d is negative; give 0 for a new team",
		    arguments->revision->ival[0]);
		return false;
	}
	if (arguments->timeout->count > 0 &&
	    (arguments->timeout->ival[0] < 1 ||
		arguments->timeout->ival[0] > DAY_S)) {
		ctl_error("--timeout: %d is not from 1 to %d seconds; correct "
			  "it",
		    arguments->timeout->ival[0], DAY_S);
		return false;
	}
	return true;
}

static const char *
string_or_default(const struct arg_str *argument, const char *fallback)
{
	return argument->count > 0 ? argument->sval[0] : fallback;
}

static int
run_command(
    const command_t *command, const arguments_t *arguments, int word_count)
{
	ctl_t ctl = {
	    .operand = command->operand != NULL
			   ? arguments->words->sval[word_count]
			   : NULL,
	    .team = string_or_default(arguments->team, NULL),
	    .author = string_or_default(arguments->author, g_get_user_name()),
	    .message = string_or_default(arguments->message, ""),
	    .to_version = string_or_default(arguments->to, NULL),
	    .format = string_or_default(arguments->format,
		arguments->json->count > 0 ? "json" : "text"),
	    .revision = arguments->revision->count > 0
			    ? arguments->revision->ival[0]
			    : -1,
	    .within_s =
		arguments->within->count > 0 ? arguments->within->ival[0] : 0,
	    .wait_timeout_s = arguments->timeout->count > 0
				  ? arguments->timeout->ival[0]
				  : DEFAULT_TIMEOUT_S,
	    .wait = arguments->wait->count > 0,
	    .json = arguments->json->count > 0,
	};
	ctl_exit_t code;

	ctl.client = ctl_client_new(
	    arguments->nodes->sval, (unsigned)arguments->nodes->count);
	code = command->run(&ctl);
	ctl_client_free(ctl.client);
	return (int)code;
}

static int
run(const arguments_t *arguments, int error_count, void **table)
{
	const command_t *command;
	int word_count;

	if (arguments->version->count > 0) {
		printf("papayactl %s\n", PAPAYA_VERSION);
		return CTL_OK;
	}
	if (arguments->help->count > 0) {
		print_help(table);
		return CTL_OK;
	}
	if (error_count > 0) {
		arg_print_errors(stderr, arguments->end, "papayactl");
		ctl_error("see papayactl --help");
		return CTL_USAGE;
	}
	command = find_command(arguments->words, &word_count);
	if (command == NULL) {
		ctl_error("\"%s\" is not a command; see papayactl --help",
		    arguments->words->count > 0 ? arguments->words->sval[0]
						: "");
		return CTL_USAGE;
	}
	if (!check_operand(command, arguments->words, word_count) ||
	    !check_options(command, arguments) || !check_values(arguments))
		return CTL_USAGE;
	return run_command(command, arguments, word_count);
}

int
ctl_main(int argc, char **argv)
{
	arguments_t arguments = arguments_new();
	void *table[ARGUMENT_COUNT];
	int error_count, exit_code;

	signal(SIGPIPE, SIG_IGN);
	memcpy(table, &arguments, sizeof(table));
	error_count = arg_parse(argc, argv, table);
	exit_code = run(&arguments, error_count, table);
	arg_freetable(table, ARGUMENT_COUNT);
	return exit_code;
}
