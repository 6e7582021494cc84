#include "json.h"

#include "error.h"

#include <stdlib.h>

json_t *
json_parse(const char *text, size_t length, const char *source, GError **error)
{
	json_error_t position;
	json_t *value;

	value = json_loadb(
	    text, length, JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &position);
	if (value == NULL)
		papaya_error_set(error, PAPAYA_ERROR_BAD_REQUEST,
		    "%s:%d:%d: not valid JSON: %s", source, position.line,
		    position.column, position.text);
	return value;
}

json_t *
json_load_settings(const char *file, const char *hint, GError **error)
{
	GError *read_error = NULL;
	json_t *json;
	char *text;
	gsize length;

	if (!g_file_get_contents(file, &text, &length, &read_error)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING, "%s; %s",
		    read_error->message, hint);
		g_error_free(read_error);
		return NULL;
	}
	json = json_parse(text, length, file, error);
	g_free(text);
	return json;
}

const char *
json_get_string(const json_t *object, const char *name, const char *fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_string(value) ? json_string_value(value) : fallback;
}

int64_t
json_get_int(const json_t *object, const char *name, int64_t fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

double
json_get_double(const json_t *object, const char *name, double fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_number(value) ? json_number_value(value) : fallback;
}

bool
json_get_bool(const json_t *object, const char *name, bool fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_boolean(value) ? json_is_true(value) : fallback;
}

int64_t
json_get_clamped(const json_t *object, const char *name, int64_t fallback,
    int64_t min, int64_t max)
{
	const json_t *value = json_object_get(object, name);

	if (json_is_integer(value))
		return CLAMP(json_integer_value(value), min, max);
	if (!json_is_real(value))
		return fallback;
	if (json_real_value(value) <= (double)min)
		return min;
	if (json_real_value(value) >= (double)max)
		return max;
	return (int64_t)json_real_value(value);
}

bool
json_is_in_range(
    const json_t *object, const char *name, int64_t min, int64_t max)
{
	const json_t *value = json_object_get(object, name);

	if (value == NULL || json_is_null(value))
		return true;
	return json_is_number(value) &&
	       json_number_value(value) >= (double)min &&
	       json_number_value(value) <= (double)max;
}

json_t *
json_from_bytes(const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	json_t *value = json_string(valid);

	g_free(valid);
	return value;
}

char *
json_text(const json_t *value)
{
	char *dumped, *text;

	if (value == NULL)
		return g_strdup("null");
	dumped =
	    json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
	text = g_strdup(dumped);
	free(dumped);
	return text;
}

json_t *
json_from_counts(GHashTable *counts)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer name, count;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &name, &count))
		json_object_set_new(
		    object, name, json_integer((json_int_t) * (double *)count));
	return object;
}
