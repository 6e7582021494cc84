#include "json_items.h"

#include "json.h"

#include <stdbool.h>
#include <string.h>

/* The text that is being read, and how far. */
typedef struct cursor {
	const char *text;
	size_t length;
	size_t offset;
} cursor_t;

/* The part of an object's text that holds the items. */
typedef struct items_text {
	const char *name; /* NULL: not found */
	size_t start;	  /* after the opening bracket */
	size_t end;	  /* at the closing one */
} items_text_t;

static bool
is_at(const cursor_t *cursor, char c)
{
	return cursor->offset < cursor->length &&
	       cursor->text[cursor->offset] == c;
}

static void
skip_space(cursor_t *cursor)
{
	while (cursor->offset < cursor->length &&
	       strchr(" \t\r\n", cursor->text[cursor->offset]) != NULL &&
	       cursor->text[cursor->offset] != '\0')
		cursor->offset++;
}

/* Moves behind the character if it is the next one. */
static bool
skip_char(cursor_t *cursor, char c)
{
	skip_space(cursor);
	if (!is_at(cursor, c))
		return false;
	cursor->offset++;
	return true;
}

/* Moves from an opening quote behind the closing one. */
static void
skip_string(cursor_t *cursor)
{
	cursor->offset++;
	while (cursor->offset < cursor->length && !is_at(cursor, '"'))
		cursor->offset += is_at(cursor, '\\') ? 2 : 1;
	cursor->offset = MIN(cursor->offset + 1, cursor->length);
}

/* Moves to the comma or the closing bracket behind a value. */
static void
skip_value(cursor_t *cursor)
{
	size_t depth = 0;

	while (cursor->offset < cursor->length) {
		switch (cursor->text[cursor->offset]) {
		case '"':
			skip_string(cursor);
			continue;
		case '[':
		case '{':
			depth++;
			break;
		case ']':
		case '}':
			if (depth == 0)
				return;
			depth--;
			break;
		case ',':
			if (depth == 0)
				return;
			break;
		}
		cursor->offset++;
	}
}

/* The name between two quotes, if it is one of the names; else NULL. */
static const char *
find_name(const char *const *names, const char *text, size_t length)
{
	for (; *names != NULL; names++)
		if (strlen(*names) == length &&
		    memcmp(*names, text, length) == 0)
			return *names;
	return NULL;
}

/* Reads a member of an object; false if there is none. */
static bool
read_member(cursor_t *cursor, const char *const *names, items_text_t *items)
{
	size_t name_start, name_length, value_start;
	bool is_array;

	skip_space(cursor);
	if (!is_at(cursor, '"'))
		return false;
	name_start = cursor->offset + 1;
	skip_string(cursor);
	name_length = cursor->offset - name_start - 1;
	if (!skip_char(cursor, ':'))
		return false;
	skip_space(cursor);
	is_array = is_at(cursor, '[');
	value_start = cursor->offset;
	skip_value(cursor);
	if (is_array && items->name == NULL) {
		items->name =
		    find_name(names, cursor->text + name_start, name_length);
		items->start = value_start + 1;
		items->end = cursor->offset;
	}
	return true;
}

/* Finds the array; false if there is none, or the text ends before it does. */
static bool
find_items(const char *text, size_t length, const char *const *names,
    items_text_t *items)
{
	cursor_t cursor = {.text = text, .length = length};

	*items = (items_text_t){.name = NULL};
	if (!skip_char(&cursor, '{'))
		return false;
	while (read_member(&cursor, names, items))
		if (!skip_char(&cursor, ','))
			break;
	if (items->name == NULL || !skip_char(&cursor, '}'))
		return false;
	/* White space may follow the closing bracket. */
	while (items->end > items->start && text[items->end - 1] != ']')
		items->end--;
	if (items->end == items->start)
		return false;
	items->end--;
	return true;
}

static void
note_skipped(json_items_skipped_t *skipped, const char *text, size_t length)
{
	char *start, *escaped;

	if (skipped->count++ > 0)
		return;
	start = g_strndup(text, MIN(length, sizeof(skipped->excerpt)));
	escaped = g_strescape(start, NULL);
	g_strlcpy(skipped->excerpt, escaped, sizeof(skipped->excerpt));
	g_free(escaped);
	g_free(start);
}

static json_t *
parse_each(const char *text, size_t length, const char *source,
    json_items_skipped_t *skipped)
{
	cursor_t cursor = {.text = text, .length = length};
	json_t *items = json_array();

	while (cursor.offset < length) {
		size_t start = cursor.offset;
		const char *item = text + start;
		size_t item_length;
		json_t *json;

		skip_value(&cursor);
		item_length = cursor.offset - start;
		json = json_parse(item, item_length, source, NULL);
		if (json == NULL)
			note_skipped(skipped, item, item_length);
		else
			json_array_append_new(items, json);
		cursor.offset++; /* the comma */
	}
	return items;
}

json_t *
json_items_parse(const char *text, size_t length, const char *source,
    const char *const *names, json_items_skipped_t *skipped, GError **error)
{
	json_t *json = json_parse(text, length, source, error);
	items_text_t items;
	GString *rest;

	*skipped = (json_items_skipped_t){.count = 0};
	if (json != NULL || !find_items(text, length, names, &items))
		return json;
	rest = g_string_new_len(text, (gssize)items.start);
	g_string_append_len(
	    rest, text + items.end, (gssize)(length - items.end));
	g_clear_error(error);
	json = json_parse(rest->str, rest->len, source, error);
	g_string_free(rest, TRUE);
	if (json != NULL)
		json_object_set_new(json, items.name,
		    parse_each(text + items.start, items.end - items.start,
			source, skipped));
	return json;
}
