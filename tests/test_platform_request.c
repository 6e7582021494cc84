#include "http1.h"
#include "platform_request.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/* Facts of a request with these parts of its prompt. */
static request_facts_t
read_parts(const char *parts)
{
	http1_head_t head = {.method = "POST",
	    .target = "/",
	    .header_count = 1,
	    .headers = {{.name = "X-Prompt-Prefix", .value = parts}}};
	request_facts_t facts;

	platform_read_request(&head, &facts);
	return facts;
}

static const struct ids {
	const char *parts; /* two */
	bool equal;
} ids[] = {
    {"5c1e07a2:1,91bd3f06:1", false},
    {"5C1E07A2:1,5c1e07a2:1", true},
    {"005c1e07a2:1, 5c1e07a2:1", true},
    {"ffffffffffffffff:1,fffffffffffffffe:1", false},
    {"5c1e07a25c1e07a21:1,5c1e07a25c1e07a22:1", false},
    {"5c1e07a25c1e07a21:1,ffffffffffffffff:1", false},
    {"5c1e07a25c1e07a21:1,0005C1E07A25c1e07a21:1", true},
    {"00000000000000005c1e07a2:1,5c1e07a2:1", true},
};

/*
 * Guards against parts that are taken for one another, so that one which
 * crashes servers blocks all prompts with a long id, or is not found.
 */
START_TEST(parts_with_long_ids_are_distinct)
{
	request_facts_t facts = read_parts(ids[_i].parts);

	ck_assert_uint_eq(facts.segment_count, 2);
	ck_assert_msg(
	    (facts.segments[0].id == facts.segments[1].id) == ids[_i].equal,
	    "%s", ids[_i].parts);
}
END_TEST

/* Guards against the use of what is no list of parts. */
START_TEST(malformed_parts_end_the_list)
{
	static const char *const malformed[] = {
	    "", ":1", "x:1", "-5c:1", "0x5c:1", "5c", "5c:", "5c:x", "5c 1"};

	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		ck_assert_msg(read_parts(malformed[i]).segment_count == 0,
		    "\"%s\"", malformed[i]);
	ck_assert_uint_eq(read_parts("5c:1,x:1,5d:1").segment_count, 1);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("platform_request");
	TCase *cases = tcase_create("platform_request");

	tcase_add_loop_test(cases, parts_with_long_ids_are_distinct, 0,
	    sizeof(ids) / sizeof(ids[0]));
	tcase_add_test(cases, malformed_parts_end_the_list);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
