#include "settings_read.h"

#include "error.h"
#include "json.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum { SHOWN_VALUE_CHARACTERS = 80 };

static char *
value_text(const json_t *value)
{
	char *text, *cut;

	if (value == NULL)
		return g_strdup("missing value");
	text = json_text(value);
	if (text == NULL)
		return g_strdup("value");
	if (g_utf8_strlen(text, -1) <= SHOWN_VALUE_CHARACTERS)
		return text;
	cut = g_utf8_substring(text, 0, SHOWN_VALUE_CHARACTERS);
	g_free(text);
	text = g_strconcat(cut, "...", NULL);
	g_free(cut);
	return text;
}

/* File of the entry where the source is a directory, else the source. */
static char *
source_text(const scope_t *scope)
{
	const char *source = scope->check->source;

	if (!g_str_has_suffix(source, "/") || scope->entry == NULL)
		return g_strdup(source);
	return g_strdup_printf(
	    "%s%s/%s.json", source, scope->section, scope->entry);
}

static void
append_path(GString *path, const char *part)
{
	if (part == NULL)
		return;
	if (path->len > 0)
		g_string_append_c(path, '.');
	g_string_append(path, part);
}

bool
scope_bad(const scope_t *scope, const char *name, const json_t *value,
    const char *format, ...)
{
	GString *path = g_string_new(NULL);
	char *source = source_text(scope);
	char *shown = value_text(value);
	char *problem;
	va_list args;

	append_path(path, scope->section);
	append_path(path, scope->entry);
	append_path(path, scope->inner);
	append_path(path, name);
	va_start(args, format);
	problem = g_strdup_vprintf(format, args);
	va_end(args);
	papaya_error_set(scope->check->error, PAPAYA_ERROR_BAD_SETTING,
	    "%s: %s: %s %s", source, path->len > 0 ? path->str : "tree", shown,
	    problem);
	g_free(problem);
	g_free(shown);
	g_free(source);
	g_string_free(path, TRUE);
	return false;
}

static bool
label_valid(const char *label, const char *punctuation)
{
	size_t length = strlen(label);

	if (length < 1 || length > NAME_MAX_LENGTH ||
	    !g_ascii_isalnum(label[0]))
		return false;
	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isalnum(label[i]) &&
		    strchr(punctuation, label[i]) == NULL)
			return false;
	return true;
}

bool
name_valid(const char *name)
{
	return label_valid(name, "-_");
}

bool
scope_fields(const scope_t *scope, const char *const *names)
{
	const char *name;
	json_t *value;

	if (!json_is_object(scope->object))
		return scope_bad(scope, NULL, scope->object,
		    "is not an object; write {...}");
	json_object_foreach ((json_t *)scope->object, name, value) {
		char *known;

		if (g_strv_contains(names, name))
			continue;
		known = g_strjoinv(", ", (char **)names);
		scope_bad(scope, name, value,
		    "is set for an unknown field; remove it or use one of: %s",
		    known);
		g_free(known);
		return false;
	}
	return true;
}

bool
scope_required(const scope_t *scope, const char *const *names)
{
	for (; *names != NULL; names++)
		if (json_object_get(scope->object, *names) == NULL)
			return scope_bad(scope, *names, NULL,
			    "for a required field; set \"%s\"", *names);
	return true;
}

bool
scope_int(const scope_t *scope, const char *name, int64_t least, int64_t most,
    int64_t *out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (value == NULL)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < least ||
	    json_integer_value(value) > most)
		return scope_bad(scope, name, value,
		    "is not a whole number from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT "; set one in that range",
		    least, most);
	*out = json_integer_value(value);
	return true;
}

bool
scope_number(const scope_t *scope, const char *name, double least, double most,
    double *out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (value == NULL)
		return true;
	if (!json_is_number(value) || json_number_value(value) < least ||
	    json_number_value(value) > most)
		return scope_bad(scope, name, value,
		    "is not a number from %g to %g; set one in that range",
		    least, most);
	*out = json_number_value(value);
	return true;
}

bool
scope_bool(const scope_t *scope, const char *name, bool *out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (value == NULL)
		return true;
	if (!json_is_boolean(value))
		return scope_bad(
		    scope, name, value, "is not a boolean; set true or false");
	*out = json_is_true(value);
	return true;
}

bool
scope_word(const scope_t *scope, const char *name, const char *const *words,
    unsigned *out)
{
	const json_t *value = json_object_get(scope->object, name);
	char *known;

	if (value == NULL)
		return true;
	for (unsigned i = 0; json_is_string(value) && words[i] != NULL; i++) {
		if (strcmp(json_string_value(value), words[i]) != 0)
			continue;
		*out = i;
		return true;
	}
	known = g_strjoinv(", ", (char **)words);
	scope_bad(
	    scope, name, value, "is not a known choice; use one of: %s", known);
	g_free(known);
	return false;
}

bool
scope_label_good(const scope_t *scope, const char *name, const json_t *value)
{
	if (json_is_string(value) &&
	    label_valid(json_string_value(value), "-_."))
		return true;
	return scope_bad(scope, name, value,
	    "is not a name; use 1 to %d of letters, digits, '-', '_' and '.', "
	    "beginning with a letter or digit",
	    NAME_MAX_LENGTH);
}

bool
scope_label(const scope_t *scope, const char *name, char **out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (!scope_label_good(scope, name, value))
		return false;
	*out = g_strdup(json_string_value(value));
	return true;
}

static bool
port_valid(const char *text)
{
	char *end;
	long port;

	if (!g_ascii_isdigit(text[0]) || strlen(text) > 5)
		return false;
	port = strtol(text, &end, 10);
	return *end == '\0' && port >= 1 && port <= G_MAXUINT16;
}

bool
address_valid(const char *text)
{
	struct in6_addr parsed;
	const char *colon = strrchr(text, ':');
	bool valid;
	char *ip;

	if (colon == NULL || !port_valid(colon + 1))
		return false;
	ip = g_strndup(text, (gsize)(colon - text));
	if (ip[0] == '[' && g_str_has_suffix(ip, "]")) {
		ip[strlen(ip) - 1] = '\0';
		valid = inet_pton(AF_INET6, ip + 1, &parsed) == 1;
	} else {
		valid = inet_pton(AF_INET, ip, &parsed) == 1;
	}
	g_free(ip);
	return valid;
}

bool
scope_address(const scope_t *scope, const char *name, char **out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (!json_is_string(value) || !address_valid(json_string_value(value)))
		return scope_bad(scope, name, value,
		    "is not an address; write IP:PORT, such as "
		    "\"127.0.0.1:9001\"");
	*out = g_strdup(json_string_value(value));
	return true;
}

scope_t
scope_inner(const scope_t *scope, const char *name, bool *present)
{
	scope_t inner = *scope;

	inner.inner = name;
	inner.object = json_object_get(scope->object, name);
	*present = inner.object != NULL;
	return inner;
}
