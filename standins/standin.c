#include "standin.h"

#include "error.h"
#include "json.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

double
standin_fault_value(const standin_t *standin, const char *name)
{
	if (json_get_bool(standin->faults, name, false))
		return 1;
	return json_get_double(standin->faults, name, 0);
}

bool
standin_fault_occurs(standin_t *standin, const char *name)
{
	double probability = standin_fault_value(standin, name);

	return probability > 0 && g_rand_double(standin->rand) < probability;
}

bool
standin_request_fails(standin_t *standin)
{
	double max_requests = standin_fault_value(standin, "error_after_calls");

	standin->request_count++;
	if (max_requests > 0 && (double)standin->request_count > max_requests)
		return true;
	return standin_fault_occurs(standin, "error_rate");
}

int64_t
standin_fault_time_ms(
    const standin_t *standin, const char *name, unsigned running)
{
	double max_running = standin_fault_value(standin, "slow_over_running");
	double time_ms = standin_fault_value(standin, name);

	if (max_running > 0 && running > max_running)
		time_ms *= running - max_running + 1;
	return (int64_t)time_ms;
}

typedef struct delayed_call {
	uv_timer_t timer;
	void (*callback)(void *data);
	void *data;
} delayed_call_t;

static void
on_delayed_call_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
on_delayed_call(uv_timer_t *timer)
{
	delayed_call_t *delayed = timer->data;

	delayed->callback(delayed->data);
	uv_close((uv_handle_t *)timer, on_delayed_call_closed);
}

void
standin_call_after(standin_t *standin, int64_t delay_ms,
    void (*callback)(void *data), void *data)
{
	delayed_call_t *delayed = g_new0(delayed_call_t, 1);

	delayed->callback = callback;
	delayed->data = data;
	uv_timer_init(standin->loop, &delayed->timer);
	delayed->timer.data = delayed;
	uv_timer_start(
	    &delayed->timer, on_delayed_call, (uint64_t)MAX(delay_ms, 0), 0);
}

static void
serve_faults(standin_t *standin, http_request_t *request)
{
	GError *error = NULL;
	const char *body;
	json_t *changes;
	size_t length;

	if (strcmp(http_request_method(request), "POST") == 0) {
		body = http_request_body(request, &length);
		changes = json_parse(body, length, "faults", &error);
		if (changes == NULL || !json_is_object(changes)) {
			if (error == NULL)
				papaya_error_set(&error,
				    PAPAYA_ERROR_BAD_REQUEST,
				    "faults: not a JSON object");
			http_reply_error(request, error, true);
			g_error_free(error);
			json_decref(changes);
			return;
		}
		json_object_update(standin->faults, changes);
		if (json_object_get(changes, "seed") != NULL)
			g_rand_set_seed(standin->rand,
			    (guint32)json_get_int(changes, "seed", 1));
		json_decref(changes);
		if (standin->faults_changed != NULL)
			standin->faults_changed(standin);
	}
	http_reply_json(request, 200, json_incref(standin->faults));
}

static void
on_request(http_request_t *request, void *data)
{
	standin_t *standin = data;

	if (strcmp(http_request_path(request), "/faults") == 0)
		serve_faults(standin, request);
	else
		standin->handler(request, standin->data);
}

static void
on_signal(uv_signal_t *signal, int signum)
{
	uv_stop(signal->loop);
}

static int
run_server(standin_t *standin, const char *address, int port)
{
	http_server_options_t options = {
	    .address = address,
	    .port = port,
	    .handler = on_request,
	    .data = standin,
	};
	uv_signal_t term, interrupt;
	GError *error = NULL;

	standin->server = http_server_start(standin->loop, &options, &error);
	if (standin->server == NULL) {
		fprintf(stderr, "%s: %s\n", standin->program, error->message);
		g_error_free(error);
		return 1;
	}
	uv_signal_init(standin->loop, &term);
	uv_signal_init(standin->loop, &interrupt);
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_signal_start(&interrupt, on_signal, SIGINT);
	printf("listening %s:%d\n", address, http_server_port(standin->server));
	fflush(stdout);
	uv_run(standin->loop, UV_RUN_DEFAULT);
	return 0;
}

int
standin_run(standin_t *standin, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_str *address =
	    arg_str0(NULL, "address", "IP", "listen address (127.0.0.1)");
	struct arg_int *port = arg_int0(
	    NULL, "port", "PORT", "listen port (0: chosen by the kernel)");
	struct arg_str *name =
	    arg_str0(NULL, "name", "NAME", "name reported in responses");
	struct arg_str *model_version =
	    arg_str0(NULL, "model-version", "VERSION", "initial model version");
	struct arg_str *faults =
	    arg_str0(NULL, "faults", "JSON", "initial faults");
	struct arg_int *seed = arg_int0(
	    NULL, "seed", "N", "seed of the random number generator (1)");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, version, address, port, name, model_version,
	    faults, seed, end};
	int error_count = arg_parse(argc, argv, table);
	int rc;

	if (help->count > 0 || version->count > 0) {
		printf("%s %s\n", standin->program, PAPAYA_VERSION);
		if (help->count > 0)
			arg_print_glossary(stdout, table, "  %-28s %s\n");
		return 0;
	}
	if (error_count > 0) {
		arg_print_errors(stderr, end, standin->program);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	standin->loop = uv_default_loop();
	standin->name = g_strdup(name->count > 0 ? name->sval[0] : "standin");
	if (model_version->count > 0)
		standin->version = g_strdup(model_version->sval[0]);
	standin->rand = g_rand_new_with_seed(
	    (guint32)(seed->count > 0 ? seed->ival[0] : 1));
	standin->faults = faults->count > 0
			      ? json_loads(faults->sval[0], 0, NULL)
			      : json_object();
	if (!json_is_object(standin->faults)) {
		fprintf(stderr, "%s: --faults is not a JSON object\n",
		    standin->program);
		return 2;
	}
	if (standin->faults_changed != NULL)
		standin->faults_changed(standin);
	rc = run_server(standin,
	    address->count > 0 ? address->sval[0] : "127.0.0.1",
	    port->count > 0 ? port->ival[0] : 0);
	arg_freetable(table, G_N_ELEMENTS(table));
	return rc;
}
