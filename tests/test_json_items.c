#include "json_items.h"
#include "suite.h"

#include <check.h>
#include <string.h>

static const char *const names[] = {"items", NULL};

/* Number of items of a text; -1 where it is not valid. */
static int
count_items(const char *text, unsigned *skipped_count)
{
	json_items_skipped_t skipped;
	json_t *json =
	    json_items_parse(text, strlen(text), "test", names, &skipped, NULL);
	int count = json == NULL
			? -1
			: (int)json_array_size(json_object_get(json, "items"));

	*skipped_count = skipped.count;
	json_decref(json);
	return count;
}

static const struct {
	const char *text;
	int count;
	unsigned skipped;
} texts[] = {
    {"{\"items\":[{\"a\":1},{\"a\":2}],\"as_of\":3}", 2, 0},
    {"{\"as_of\":3,\"items\":[{\"a\":\"\\u0000\"},{\"a\":2}] }", 1, 1},
    {"{\"items\" : [ {\"a\":\"\\ud800\"} , [\"]\"], 99999999999999999999 ]}", 1,
	2},
    {"{\"items\":[{\"a\":\"\xff\"},{\"a\":\"\\\\\"},\"],[\"]}", 2, 1},
    {"{\"items\":[1e999]}", 0, 1},
    {"{\"items\":[,1]}", 1, 1},
    {"{\"other\":[1e999]}", -1, 0},
    {"{\"items\":[1e999],\"as_of\":1e999}", -1, 1},
    {"{\"items\":[1e999", -1, 0},
    {"{\"items\":[\"a", -1, 0},
    {"{\"items\":[\"\\", -1, 0},
    {"[1e999]", -1, 0},
    {"", -1, 0},
};

/* Guards against items that are lost beside one that is not valid. */
START_TEST(an_item_that_is_not_valid_costs_only_itself)
{
	unsigned skipped;

	ck_assert_int_eq(
	    count_items(texts[_i].text, &skipped), texts[_i].count);
	if (texts[_i].count >= 0)
		ck_assert_uint_eq(skipped, texts[_i].skipped);
}
END_TEST

/* Guards against a stack that one deeply nested item exhausts. */
START_TEST(a_deeply_nested_item_is_skipped)
{
	char *nested = g_strnfill(100000, '[');
	char *closed = g_strnfill(100000, ']');
	char *text = g_strdup_printf("{\"items\":[%s%s,1]}", nested, closed);
	unsigned skipped;

	ck_assert_int_eq(count_items(text, &skipped), 1);
	ck_assert_uint_eq(skipped, 1);
	g_free(text);
	g_free(closed);
	g_free(nested);
}
END_TEST

/* Guards against log lines with bytes that are not printable. */
START_TEST(the_excerpt_is_printable)
{
	static const char text[] = "{\"items\":[\"\xff\n\"]}";
	json_items_skipped_t skipped;

	json_decref(json_items_parse(
	    text, strlen(text), "test", names, &skipped, NULL));
	ck_assert_str_eq(skipped.excerpt, "\\\"\\377\\n\\\"");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("json_items");
	TCase *cases = tcase_create("json_items");

	tcase_add_loop_test(cases, an_item_that_is_not_valid_costs_only_itself,
	    0, G_N_ELEMENTS(texts));
	tcase_add_test(cases, a_deeply_nested_item_is_skipped);
	tcase_add_test(cases, the_excerpt_is_printable);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
