#include "support_chat.h"

#include "token.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

chat_t chat = {.max_tokens = CHAT_TOKENS};

static json_t *
backend(const program_t *program, const char *host, const char *service)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "address",
	    program->address, "host", host, "zone", "zone-a", "class", "a",
	    "service", service, "version", "v1");
}

/* The timeout is looked at only where the service is known. */
static bool
is_applied(void *data)
{
	static const char *const headers[] = {
	    "Papaya-Workspace: depot", "Papaya-Timeout-Ms: none", NULL};
	test_request_t ask = {.target = data,
	    .path = "/v1/services/t1/pages/ready",
	    .headers = headers};
	test_response_t *answer = test_request_send(&ask);
	bool known = answer->status == 400;

	test_response_free(answer);
	return known;
}

void
chat_wait_applied(program_t *node)
{
	wait_until(is_applied, node);
}

void
chat_start(
    const char *program, const char *service, int in_flight, json_t *extra)
{
	json_t *services, *backends;

	chat.store = program_start("standin-store", NULL);
	chat.one = program_start(program, "--name", "one", NULL);
	chat.two = program_start(program, "--name", "two", NULL);
	chat.node = papayad_start("n1", "zone-a", chat.store, "t1", extra);
	services =
	    json_pack("{s:{s:s,s:s,s:[s],s:i,s:{s:i,s:i,s:f},s:{s:i,s:i}},"
		      "s:{s:s,s:b,s:s,s:[s],s:i,s:{s:i,s:f}}}",
		"chat", "kind", "model", "current", "v1", "versions", "v1",
		"timeout_ms", 20000, "slo", "first_token_ms", 200,
		"between_tokens_ms", 61, "target", 0.95, "limit", "in_flight",
		in_flight, "waiting", 8, "pages", "kind", "plain", "repeatable",
		1, "current", "v1", "versions", "v1", "timeout_ms", 20000,
		"slo", "answer_ms", 200, "target", 0.95);
	backends =
	    json_pack("{s:o,s:o}", "one", backend(chat.one, "host-1", service),
		"two", backend(chat.two, "host-2", service));
	settings_put(chat.node, "t1",
	    json_pack("{s:o,s:o,s:{s:{s:i,s:i,s:b}}}", "services", services,
		"backends", backends, "workspaces", "depot", "weight", 1,
		"priority", 1, "large", 0));
	chat_wait_applied(chat.node);
}

void
chat_end(void)
{
	programs_end();
	chat = (chat_t){.max_tokens = CHAT_TOKENS};
}

test_response_t *
chat_complete(bool stream, const char *prompt, const char *header,
    bool (*on_data)(test_response_t *answer, void *data), void *data)
{
	const char *const headers[] = {"Papaya-Workspace: depot",
	    "Content-Type: application/json", header, NULL};
	json_t *body =
	    json_pack("{s:s,s:s,s:i,s:b}", "model", "t1/chat", "prompt", prompt,
		"max_tokens", chat.max_tokens, "stream", (int)stream);
	char *text = json_dumps(body, 0);
	test_request_t ask = {.target = chat.node,
	    .path = "/v1/completions",
	    .headers = headers,
	    .body = text,
	    .receive_buffer_bytes = chat.receive_buffer,
	    .on_data = on_data,
	    .data = data};
	test_response_t *answer = test_request_send(&ask);

	free(text);
	json_decref(body);
	return answer;
}

/* Text of a line's token, with its event; NULL where it has none. */
static const char *
token_of(const char *line, size_t length, json_t **event)
{
	const size_t field = strlen("data: ");
	json_t *choice;

	*event = length > field
		     ? json_loadb(line + field, length - field, 0, NULL)
		     : NULL;
	choice = json_array_get(json_object_get(*event, "choices"), 0);
	return json_string_value(json_object_get(choice, "text"));
}

int
chat_tokens(const test_response_t *answer, const char *prompt)
{
	const char *line = answer->body->str;
	const char *end;
	int count = 0;

	/* Not by g_strsplit(), which is quadratic under AddressSanitizer. */
	while (count >= 0 && (end = strchr(line, '\n')) != NULL) {
		papaya_token_t token =
		    papaya_token("v1", prompt, (unsigned)count);
		json_t *event;
		const char *text = token_of(line, (size_t)(end - line), &event);

		if (text != NULL)
			count = strcmp(text, token.text) == 0 ? count + 1 : -1;
		json_decref(event);
		line = end + 1;
	}
	return count;
}

static bool
is_done(const test_response_t *answer)
{
	return answer->complete &&
	       g_str_has_suffix(answer->body->str, "data: [DONE]\n\n");
}

void
chat_check(test_response_t *answer, const char *prompt)
{
	ck_assert_msg(answer->status == 200 && is_done(answer),
	    "status %ld: %.1000s", answer->status, answer->body->str);
	ck_assert_int_eq(chat_tokens(answer, prompt), chat.max_tokens);
	test_response_free(answer);
}

int
chat_stat(const program_t *engine, const char *name)
{
	test_response_t *answer =
	    test_request_json(engine, "GET", "/stats", NULL, 200);
	int value =
	    (int)json_integer_value(json_object_get(answer->json, name));

	test_response_free(answer);
	return value;
}
