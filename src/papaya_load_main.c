#include "load.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct run {
	load_t *load;
	json_t *report;
} run_t;

static void
on_report(json_t *report, void *data)
{
	run_t *run = data;

	run->report = report;
	uv_stop(uv_default_loop());
}

static char **
copy_list(const struct arg_str *arg)
{
	char **list;

	if (arg->count == 0)
		return NULL;
	list = g_new0(char *, (gsize)arg->count + 1);
	for (int i = 0; i < arg->count; i++)
		list[i] = g_strdup(arg->sval[i]);
	return list;
}

static double
double_or_default(const struct arg_dbl *arg, double fallback)
{
	return arg->count > 0 ? arg->dval[0] : fallback;
}

static int
int_or_default(const struct arg_int *arg, int fallback)
{
	return arg->count > 0 ? arg->ival[0] : fallback;
}

static char *
string_or_default(const struct arg_str *arg, const char *fallback)
{
	return g_strdup(arg->count > 0 ? arg->sval[0] : fallback);
}

static int
run_load(const load_options_t *options)
{
	uv_loop_t *loop = uv_default_loop();
	run_t run = {0};
	int rc;

	run.load = load_start(loop, options, on_report, &run);
	uv_run(loop, UV_RUN_DEFAULT);
	rc = load_report_ok(run.report) ? EXIT_SUCCESS : EXIT_FAILURE;
	json_dumpf(run.report, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(run.report);
	load_free(run.load);
	uv_run(loop, UV_RUN_NOWAIT);
	return rc;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_str *entry = arg_strn(NULL, "entry", "IP:PORT", 0, 400,
	    "address asked for the entry list (several)");
	struct arg_dbl *rate =
	    arg_dbl0(NULL, "rate", "N", "requests per second (20)");
	struct arg_dbl *duration =
	    arg_dbl0(NULL, "duration", "S", "seconds of arrivals (5)");
	struct arg_int *workspaces =
	    arg_int0(NULL, "workspaces", "N", "number of workspaces (5)");
	struct arg_str *prefix = arg_str0(NULL, "workspace-prefix", "TEXT",
	    "workspaces are TEXT0, TEXT1, ... (workspace-)");
	struct arg_str *names = arg_strn(NULL, "workspace", "NAME", 0, 64,
	    "workspace by name, instead of the prefix (several)");
	struct arg_dbl *skew = arg_dbl0(
	    NULL, "skew", "Z", "Zipf exponent over the workspaces (1)");
	struct arg_str *model =
	    arg_str0(NULL, "model", "TEAM/NAME", "model service to call");
	struct arg_str *booking = arg_str0(
	    NULL, "booking", "TEAM/NAME/PATH", "plain service to book at");
	struct arg_dbl *share = arg_dbl0(
	    NULL, "booking-share", "P", "share of bookings, 0..1 (0.3)");
	struct arg_int *tokens =
	    arg_int0(NULL, "max-tokens", "N", "tokens per model request (16)");
	struct arg_int *prompts =
	    arg_int0(NULL, "prompts", "N", "different prompt prefixes (8)");
	struct arg_int *attempt_timeout = arg_int0(NULL, "slow-ms", "MS",
	    "a client retries an attempt after this time (5000)");
	struct arg_int *request_timeout = arg_int0(NULL, "patience-ms", "MS",
	    "a client gives up a request after this time (30000)");
	struct arg_lit *no_retry =
	    arg_lit0(NULL, "no-retry", "clients do not retry");
	struct arg_lit *direct = arg_lit0(NULL, "direct",
	    "the addresses are backend servers, without papayad");
	struct arg_str *runs = arg_strn(NULL, "runs", "IP:PORT", 0, 64,
	    "plain-service stand-in whose runs are counted (several)");
	struct arg_int *seed =
	    arg_int0(NULL, "seed", "N", "seed of the random numbers (1)");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, version, entry, rate, duration, workspaces,
	    prefix, names, skew, model, booking, share, tokens, prompts,
	    attempt_timeout, request_timeout, no_retry, direct, runs, seed,
	    end};
	int errors = arg_parse(argc, argv, table);
	load_options_t options;

	if (help->count > 0 || version->count > 0) {
		printf("papaya-load %s\n", PAPAYA_VERSION);
		if (help->count > 0)
			arg_print_glossary(stdout, table, "  %-28s %s\n");
		return EXIT_SUCCESS;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, "papaya-load");
		return 2;
	}
	if (entry->count == 0 || model->count + booking->count == 0) {
		fprintf(stderr, "papaya-load: give --entry and at least one of "
				"--model and --booking; see --help\n");
		return 2;
	}
	options = (load_options_t){
	    .addresses = copy_list(entry),
	    .rate = double_or_default(rate, 20),
	    .duration_s = double_or_default(duration, 5),
	    .workspaces = (unsigned)int_or_default(workspaces, 5),
	    .workspace_prefix = string_or_default(prefix, "workspace-"),
	    .workspace_names = copy_list(names),
	    .skew = double_or_default(skew, 1),
	    .model = model->count > 0 ? g_strdup(model->sval[0]) : NULL,
	    .booking = booking->count > 0 ? g_strdup(booking->sval[0]) : NULL,
	    .booking_share = double_or_default(share, 0.3),
	    .max_tokens = (unsigned)int_or_default(tokens, 16),
	    .prompts = (unsigned)int_or_default(prompts, 8),
	    .attempt_timeout_ms = int_or_default(attempt_timeout, 5000),
	    .request_timeout_ms = int_or_default(request_timeout, 30000),
	    .retry = no_retry->count == 0,
	    .run_count_servers = copy_list(runs),
	    .seed = (uint64_t)int_or_default(seed, 1),
	    .direct = direct->count > 0,
	};
	if (options.rate <= 0 || options.workspaces == 0) {
		fprintf(stderr, "papaya-load: --rate and --workspaces must be "
				"above 0\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	return run_load(&options);
}
