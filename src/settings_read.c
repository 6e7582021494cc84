#include "settings_read.h"

#include "error.h"
#include "json.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum { VALUE_TEXT_MAX_CHARACTERS = 80 };

static char *
value_text(const json_t *value)
{
	char *text, *shortened;

	if (value == NULL)
		return g_strdup("missing value");
	text = json_text(value);
	if (text == NULL)
		return g_strdup("value");
	if (g_utf8_strlen(text, -1) <= VALUE_TEXT_MAX_CHARACTERS)
		return text;
	shortened = g_utf8_substring(text, 0, VALUE_TEXT_MAX_CHARACTERS);
	g_free(text);
	text = g_strconcat(shortened, "...", NULL);
	g_free(shortened);
	return text;
}

/* Path of the entry's file if the source is a directory, else the source. */
static char *
source_file(const object_reader_t *reader)
{
	const char *source = reader->context->source;

	if (!g_str_has_suffix(source, "/") || reader->entry == NULL)
		return g_strdup(source);
	return g_strdup_printf(
	    "%s%s/%s.json", source, reader->section, reader->entry);
}

static void
append_path_component(GString *path, const char *component)
{
	if (component == NULL)
		return;
	if (path->len > 0)
		g_string_append_c(path, '.');
	g_string_append(path, component);
}

bool
object_error(const object_reader_t *reader, const char *field,
    const json_t *value, const char *format, ...)
{
	GString *path = g_string_new(NULL);
	char *source = source_file(reader);
	char *value_string = value_text(value);
	char *problem;
	va_list args;

	append_path_component(path, reader->section);
	append_path_component(path, reader->entry);
	append_path_component(path, reader->nested_name);
	append_path_component(path, field);
	va_start(args, format);
	problem = g_strdup_vprintf(format, args);
	va_end(args);
	papaya_error_set(reader->context->error, PAPAYA_ERROR_BAD_SETTING,
	    "%s: %s: %s %s", source, path->len > 0 ? path->str : "tree",
	    value_string, problem);
	g_free(problem);
	g_free(value_string);
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
object_check_fields(const object_reader_t *reader, const char *const *fields)
{
	const char *field;
	json_t *value;

	if (!json_is_object(reader->json))
		return object_error(reader, NULL, reader->json,
		    "is not an object; write {...}");
	json_object_foreach ((json_t *)reader->json, field, value) {
		char *field_list;

		if (g_strv_contains(fields, field))
			continue;
		field_list = g_strjoinv(", ", (char **)fields);
		object_error(reader, field, value,
		    "is set for an unknown field; remove it or use one of: %s",
		    field_list);
		g_free(field_list);
		return false;
	}
	return true;
}

bool
object_check_required(const object_reader_t *reader, const char *const *fields)
{
	for (; *fields != NULL; fields++)
		if (json_object_get(reader->json, *fields) == NULL)
			return object_error(reader, *fields, NULL,
			    "for a required field; set \"%s\"", *fields);
	return true;
}

bool
object_read_int(const object_reader_t *reader, const char *field, int64_t min,
    int64_t max, int64_t *out)
{
	const json_t *value = json_object_get(reader->json, field);

	if (value == NULL)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < min ||
	    json_integer_value(value) > max)
		return object_error(reader, field, value,
		    "is not a whole number from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT "; set one in that range",
		    min, max);
	*out = json_integer_value(value);
	return true;
}

bool
object_read_number(const object_reader_t *reader, const char *field, double min,
    double max, double *out)
{
	const json_t *value = json_object_get(reader->json, field);

	if (value == NULL)
		return true;
	if (!json_is_number(value) || json_number_value(value) < min ||
	    json_number_value(value) > max)
		return object_error(reader, field, value,
		    "is not a number from %g to %g; set one in that range", min,
		    max);
	*out = json_number_value(value);
	return true;
}

bool
object_read_bool(const object_reader_t *reader, const char *field, bool *out)
{
	const json_t *value = json_object_get(reader->json, field);

	if (value == NULL)
		return true;
	if (!json_is_boolean(value))
		return object_error(reader, field, value,
		    "is not a boolean; set true or false");
	*out = json_is_true(value);
	return true;
}

bool
object_read_enum(const object_reader_t *reader, const char *field,
    const char *const *values, unsigned *out)
{
	const json_t *value = json_object_get(reader->json, field);
	char *value_list;

	if (value == NULL)
		return true;
	for (unsigned i = 0; json_is_string(value) && values[i] != NULL; i++) {
		if (strcmp(json_string_value(value), values[i]) != 0)
			continue;
		*out = i;
		return true;
	}
	value_list = g_strjoinv(", ", (char **)values);
	object_error(reader, field, value,
	    "is not a known choice; use one of: %s", value_list);
	g_free(value_list);
	return false;
}

bool
object_check_label(
    const object_reader_t *reader, const char *field, const json_t *value)
{
	if (json_is_string(value) &&
	    label_valid(json_string_value(value), "-_."))
		return true;
	return object_error(reader, field, value,
	    "is not a name; use 1 to %d of letters, digits, '-', '_' and '.', "
	    "beginning with a letter or digit",
	    NAME_MAX_LENGTH);
}

bool
object_read_label(const object_reader_t *reader, const char *field, char **out)
{
	const json_t *value = json_object_get(reader->json, field);

	if (!object_check_label(reader, field, value))
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
object_read_address(
    const object_reader_t *reader, const char *field, char **out)
{
	const json_t *value = json_object_get(reader->json, field);

	if (!json_is_string(value) || !address_valid(json_string_value(value)))
		return object_error(reader, field, value,
		    "is not an address; write IP:PORT, such as "
		    "\"127.0.0.1:9001\"");
	*out = g_strdup(json_string_value(value));
	return true;
}

object_reader_t
object_open_nested(
    const object_reader_t *reader, const char *field, bool *present)
{
	object_reader_t nested = *reader;

	nested.nested_name = field;
	nested.json = json_object_get(reader->json, field);
	*present = nested.json != NULL;
	return nested;
}
