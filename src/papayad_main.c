#include "error.h"
#include "gateway.h"
#include "hedge.h"
#include "log.h"
#include "node.h"
#include "platform_settings.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

static void
on_drained(node_t *node)
{
	uv_stop(node->loop);
}

/*
 * The first signal starts a drain, the second ends the process at once. A drain
 * that an operator started is not counted as a signal: the platform may still
 * send SIGTERM during it.
 */
static void
on_signal(uv_signal_t *signal, int number)
{
	static bool signalled;
	node_t *node = signal->data;

	if (signalled) {
		log_event(LOG_LEVEL_WARN, "node.stopped", "signal=%d", number);
		log_flush();
		_Exit(EXIT_FAILURE);
	}
	signalled = true;
	node_drain(node, on_drained);
}

static int
run_node(const char *file)
{
	uv_loop_t *loop = uv_default_loop();
	uv_signal_t term, interrupt;
	node_config_t *config;
	GError *error = NULL;
	node_t *node;

	config = node_config_load(file, &error);
	if (config == NULL) {
		fprintf(stderr, "papayad: %s\n", error->message);
		g_error_free(error);
		return 2;
	}
	node = node_start(loop, config, &error);
	if (node == NULL) {
		fprintf(stderr, "papayad: %s\n", error->message);
		g_error_free(error);
		return 1;
	}
	uv_signal_init(loop, &term);
	uv_signal_init(loop, &interrupt);
	term.data = node;
	interrupt.data = node;
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_signal_start(&interrupt, on_signal, SIGINT);
	printf("listening %s:%d\n", config->address, config->http_port);
	fflush(stdout);
	uv_run(loop, UV_RUN_DEFAULT);
	node_free(node);
	return 0;
}

static const char hedge_share_variable[] = "PAPAYA_HEDGE_SHARE";
static const char hedge_share_option[] = "hedge-share";

static gateway_t *gateway;

static void
on_gateway_drained(void *data)
{
	uv_stop(data);
}

static void
on_gateway_signal(uv_signal_t *signal, int number)
{
	gateway_drain(gateway, on_gateway_drained, signal->loop);
}

static void
on_reload_signal(uv_signal_t *signal, int number)
{
	const char *file = g_getenv(platform_settings_variable);
	GError *error = NULL;
	gateway_config_t *config = platform_settings_load(file, &error);

	if (config != NULL) {
		gateway_reload(gateway, config);
		return;
	}
	log_event(LOG_LEVEL_ERROR, "front.reload_failed", "error=\"%s\"",
	    error->message);
	g_error_free(error);
}

static void
start_signal_handler(uv_signal_t *signal, uv_signal_cb handler, int number)
{
	uv_signal_init(uv_default_loop(), signal);
	uv_signal_start(signal, handler, number);
}

/*
 * Sets the share of hedges from the option, or else from the environment; off
 * without both. option: its text, or NULL.
 */
static bool
read_hedge_share(const char *option, double *share, GError **error)
{
	const char *variable = g_getenv(hedge_share_variable);

	if (option != NULL)
		return hedge_parse_share(
		    option, hedge_share_option, share, error);
	return variable == NULL ||
	       hedge_parse_share(variable, hedge_share_variable, share, error);
}

/*
 * Loads the platform's node file. hedge_share: text of the option, or NULL.
 * Prints an error and returns NULL on failure.
 */
static gateway_config_t *
load_gateway_config(const char *hedge_share)
{
	const char *file = g_getenv(platform_settings_variable);
	GError *error = NULL;
	gateway_config_t *config;

	if (file == NULL) {
		fprintf(stderr,
		    "papayad: set %s to the path of the settings file\n",
		    platform_settings_variable);
		return NULL;
	}
	config = platform_settings_load(file, &error);
	if (config != NULL &&
	    read_hedge_share(hedge_share, &config->hedge_share, &error))
		return config;
	gateway_config_free(config);
	fprintf(stderr, "papayad: %s\n", error->message);
	g_error_free(error);
	return NULL;
}

/* Which ports it got: the settings may leave them to the kernel. */
static void
print_gateway_ports(const gateway_config_t *config)
{
	printf("listening %s\n", config->client_address);
	printf("ports ready=%s directory=%s metrics=%d peer=%d\n",
	    config->ready_address == NULL ? "-" : config->ready_address,
	    config->directory_address == NULL ? "-" : config->directory_address,
	    config->metrics_port, config->peer_port);
	fflush(stdout);
}

static int
run_gateway(const char *hedge_share)
{
	uv_loop_t *loop = uv_default_loop();
	uv_signal_t term, interrupt, hangup;
	gateway_config_t *config;
	GError *error = NULL;

	/* A signal that comes before the loop runs is handled by the loop. */
	start_signal_handler(&term, on_gateway_signal, SIGTERM);
	start_signal_handler(&interrupt, on_gateway_signal, SIGINT);
	start_signal_handler(&hangup, on_reload_signal, SIGHUP);
	config = load_gateway_config(hedge_share);
	if (config == NULL)
		return 2;
	gateway = gateway_start(loop, config, &error);
	if (gateway == NULL) {
		fprintf(stderr, "papayad: %s\n", error->message);
		g_error_free(error);
		return 1;
	}
	print_gateway_ports(config);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}

/* What the command line asks for; strings are borrowed. */
typedef struct command {
	const char *config_file; /* NULL: on the users' platform */
	const char *hedge_share; /* NULL: not given */
} command_t;

/* Checks the settings; returns the exit status. */
static int
check_settings(const command_t *command)
{
	GError *error = NULL;
	bool ok;

	if (command->config_file == NULL) {
		gateway_config_t *config =
		    load_gateway_config(command->hedge_share);

		ok = config != NULL;
		gateway_config_free(config);
	} else {
		node_config_t *config =
		    node_config_load(command->config_file, &error);

		ok = config != NULL;
		node_config_free(config);
	}
	if (error != NULL)
		fprintf(stderr, "papayad: %s\n", error->message);
	g_clear_error(&error);
	return ok ? 0 : 2;
}

/* Runs the daemon until it has drained; returns the exit status. */
static int
run(const command_t *command)
{
	bool is_gateway = command->config_file == NULL;
	int rc;

	signal(SIGPIPE, SIG_IGN);
	log_start("papayad", is_gateway ? STDOUT_FILENO : STDERR_FILENO);
	log_use_loop(uv_default_loop());
	rc = is_gateway ? run_gateway(command->hedge_share)
			: run_node(command->config_file);
	log_stop();
	return rc;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_file *config = arg_file0(
	    NULL, "config", "FILE", "configuration of this node (JSON)");
	struct arg_lit *platform = arg_lit0(NULL, "platform",
	    "run on the users' platform, with the settings file that the "
	    "environment names");
	struct arg_lit *check =
	    arg_lit0(NULL, "check", "check the configuration and exit");
	struct arg_str *hedge_share =
	    arg_str0(NULL, hedge_share_option, "SHARE",
		"with --platform: share of the requests that may be sent to a "
		"second backend server when they are late, 0 to 0.2");
	struct arg_end *end = arg_end(8);
	void *table[] = {
	    help, version, platform, config, check, hedge_share, end};
	int errors = arg_parse(argc, argv, table);
	int rc = 2;

	if (help->count > 0 || version->count > 0) {
		printf("papayad %s\n", PAPAYA_VERSION);
		if (help->count > 0)
			arg_print_glossary(stdout, table, "  %-20s %s\n");
		rc = 0;
	} else if (errors > 0 || config->count + platform->count != 1) {
		arg_print_errors(stderr, end, "papayad");
		fprintf(stderr,
		    "papayad: give --config FILE or --platform; see --help\n");
	} else if (hedge_share->count > 0 && platform->count == 0) {
		fprintf(stderr, "papayad: --%s needs --platform\n",
		    hedge_share_option);
	} else {
		command_t command = {
		    .config_file =
			config->count > 0 ? config->filename[0] : NULL,
		    .hedge_share =
			hedge_share->count > 0 ? hedge_share->sval[0] : NULL,
		};

		rc =
		    check->count > 0 ? check_settings(&command) : run(&command);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return rc;
}
