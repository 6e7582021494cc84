#include "platform_request.h"
#include "platform_settings.h"
#include "region.h"
#include "suite.h"

#include <check.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

static const char *const home_only[] = {"home", NULL};
static const char *const home_and_abroad[] = {"home", "abroad", NULL};
static const char *const abroad_and_far[] = {"abroad", "far", NULL};
static const char *const none[] = {NULL};

static region_map_t *map;

static void
setup(void)
{
	map = region_map_new();
	region_map_add(map, "z1", "home");
	region_map_add(map, "z2", "home");
	region_map_add(map, "z3", "abroad");
}

static void
teardown(void)
{
	region_map_free(map);
}

/* Guards against a body sent to a region that one of the two rules forbids. */
START_TEST(a_rule_allows_what_route_and_workspace_allow)
{
	region_rule_t all = {0};
	region_rule_t route = {.by_route = home_only};
	region_rule_t workspace = {.by_workspace = home_only};
	region_rule_t both = {
	    .by_route = home_and_abroad, .by_workspace = abroad_and_far};
	region_rule_t neither = {
	    .by_route = home_only, .by_workspace = abroad_and_far};

	ck_assert(region_rule_allows_zone(&all, map, "z3"));
	ck_assert(region_rule_allows_zone(&route, map, "z2"));
	ck_assert(!region_rule_allows_zone(&route, map, "z3"));
	ck_assert(!region_rule_allows_zone(&workspace, map, "z3"));
	ck_assert(region_rule_allows_zone(&both, map, "z3"));
	ck_assert(!region_rule_allows_zone(&both, map, "z1"));
	ck_assert(!region_rule_allows_zone(&neither, map, "z1"));
	ck_assert(!region_rule_allows_zone(&neither, map, "z3"));
}
END_TEST

/* Guards against taking a zone that the settings do not list for allowed. */
START_TEST(a_zone_of_unknown_region_is_allowed_without_a_rule_only)
{
	region_rule_t all = {0}, route = {.by_route = home_only};

	ck_assert(region_rule_allows_zone(&all, map, "z9"));
	ck_assert(region_rule_allows_zone(&all, NULL, "z1"));
	ck_assert(!region_rule_allows_zone(&route, map, "z9"));
	ck_assert(!region_rule_allows_zone(&route, NULL, "z1"));
}
END_TEST

/* Guards against changed digests and answers where there is one region. */
START_TEST(zones_of_one_region_are_not_many_regions)
{
	region_map_t *one = region_map_new();

	ck_assert(!region_map_has_many(NULL));
	ck_assert(!region_map_has_many(one));
	region_map_add(one, "z1", "home");
	region_map_add(one, "z2", "home");
	ck_assert(!region_map_has_many(one));
	ck_assert(region_map_has_many(map));
	region_map_free(one);
}
END_TEST

/* Guards against an empty intersection that is taken for all regions. */
START_TEST(an_intersection_may_be_empty)
{
	char **both = region_intersect(home_and_abroad, abroad_and_far);
	char **empty = region_intersect(home_only, abroad_and_far);
	char **left = region_intersect(home_only, NULL);

	ck_assert_uint_eq(g_strv_length(both), 1);
	ck_assert_str_eq(both[0], "abroad");
	ck_assert_ptr_nonnull(empty);
	ck_assert_uint_eq(g_strv_length(empty), 0);
	ck_assert_str_eq(left[0], "home");
	ck_assert_ptr_null(region_intersect(NULL, NULL));
	g_strfreev(both);
	g_strfreev(empty);
	g_strfreev(left);
}
END_TEST

/* The addresses that are named, in their order, separated by spaces. */
static char *
named(const region_host_t *hosts, guint count, const char *region,
    const char *const *allowed)
{
	GArray *array = g_array_new(FALSE, FALSE, sizeof(region_host_t));
	region_caller_t caller = {.region = region, .allowed = allowed};
	GPtrArray *addresses;
	char *text;

	g_array_append_vals(array, hosts, count);
	addresses = region_select_hosts(array, &caller);
	g_ptr_array_add(addresses, NULL);
	text = g_strjoinv(" ", (char **)addresses->pdata);
	g_ptr_array_unref(addresses);
	g_array_unref(array);
	return text;
}

typedef struct naming {
	const char *region;
	const char *const *allowed;
	const char *expected;
} naming_t;

static void
expect_named(
    const region_host_t *hosts, guint count, const naming_t *cases, size_t size)
{
	for (size_t i = 0; i < size; i++) {
		char *text =
		    named(hosts, count, cases[i].region, cases[i].allowed);

		ck_assert_msg(strcmp(text, cases[i].expected) == 0,
		    "case %zu: \"%s\"", i, text);
		g_free(text);
	}
}

/* Guards against callers that are sent to a region which is not allowed. */
START_TEST(active_hosts_of_the_callers_or_an_allowed_region_are_named)
{
	static const region_host_t hosts[] = {
	    {.address = "h", .region = "home", .active = true, .ready = true},
	    {.address = "a", .region = "abroad", .active = true, .ready = true},
	    {.address = "f", .region = "far", .active = true, .ready = true},
	    {.address = "u", .active = true, .ready = true},
	    {.address = "s", .region = "home", .ready = true},
	};
	static const naming_t cases[] = {
	    {"home", NULL, "h a f u"},
	    {NULL, NULL, "h a f u"},
	    {"home", home_only, "h"},
	    {"far", home_only, "h f"},
	    {NULL, home_only, "h"},
	    {"home", none, "h"},
	    {NULL, none, ""},
	};

	expect_named(hosts, G_N_ELEMENTS(hosts), cases, G_N_ELEMENTS(cases));
}
END_TEST

/*
 * Guards against callers without a host while hosts of their region are on
 * standby: all active nodes are elsewhere, or those of the region were lost.
 */
START_TEST(standby_hosts_are_named_where_no_active_one_qualifies)
{
	static const region_host_t hosts[] = {
	    {.address = "f", .region = "far", .active = true, .ready = true},
	    {.address = "starting", .region = "home"},
	    {.address = "standby", .region = "home", .ready = true},
	    {.address = "alone", .region = "abroad"},
	};
	static const naming_t cases[] = {
	    {"home", home_only, "standby"},
	    {"abroad", home_only, "standby"},
	    {"abroad", none, "alone"},
	    {"elsewhere", none, ""},
	    {"home", NULL, "f"},
	};

	expect_named(hosts, G_N_ELEMENTS(hosts), cases, G_N_ELEMENTS(cases));
}
END_TEST

/* Guards against callers whose query is not understood, or crashes a node. */
START_TEST(the_query_of_a_caller_is_read)
{
	platform_directory_query_t query;

	platform_read_directory_query(
	    "/v1/resolve?name=a%2Db.example&region=r+1&zone=z1&x=", &query);
	ck_assert_str_eq(query.host, "a-b.example");
	ck_assert_str_eq(query.region, "r 1");
	ck_assert_str_eq(query.zone, "z1");
	platform_clear_directory_query(&query);
	platform_read_directory_query("/v1/resolve?region=%zz", &query);
	ck_assert_ptr_null(query.region);
	platform_clear_directory_query(&query);
	platform_read_directory_query("/v1/resolve", &query);
	ck_assert_ptr_null(query.host);
	platform_clear_directory_query(&query);
}
END_TEST

/* Loads settings with these members besides the required ones. */
static gateway_config_t *
load_settings(const char *members)
{
	char path[] = "/tmp/papaya-region-XXXXXX";
	GError *error = NULL;
	gateway_config_t *config;
	char *text = g_strdup_printf(
	    "{\"node_name\": \"n\", \"zone\": \"z1\", \"ip\": \"127.0.0.1\","
	    " \"listen_addrs\": {\"front\": \"127.0.0.1:1\"},"
	    " \"platform\": {\"address\": \"127.0.0.1:2\"},"
	    " \"internal_ports\": [3, 4]%s}",
	    members);

	close(mkstemp(path));
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	config = platform_settings_load(path, &error);
	ck_assert((config == NULL) == (error != NULL));
	g_clear_error(&error);
	g_unlink(path);
	g_free(text);
	return config;
}

/* Guards against a node that does not know its region, or starts without. */
START_TEST(regions_are_read_from_the_settings)
{
	static const char *const bad[] = {", \"region\": 1", ", \"zones\": []",
	    ", \"zones\": {\"z1\": null}"};
	gateway_config_t *config = load_settings("");

	ck_assert_ptr_null(config->region);
	ck_assert(!region_map_has_many(config->regions));
	gateway_config_free(config);
	config = load_settings(
	    ", \"zones\": {\"z1\": \"home\", \"z3\": \"abroad\"}");
	ck_assert_str_eq(config->region, "home");
	ck_assert_str_eq(region_map_find(config->regions, "z3"), "abroad");
	gateway_config_free(config);
	config = load_settings(", \"region\": \"home\"");
	ck_assert_str_eq(region_map_find(config->regions, "z1"), "home");
	gateway_config_free(config);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_ptr_null(load_settings(bad[i]));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("region");
	TCase *cases = tcase_create("region");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, a_rule_allows_what_route_and_workspace_allow);
	tcase_add_test(
	    cases, a_zone_of_unknown_region_is_allowed_without_a_rule_only);
	tcase_add_test(cases, zones_of_one_region_are_not_many_regions);
	tcase_add_test(cases, an_intersection_may_be_empty);
	tcase_add_test(
	    cases, active_hosts_of_the_callers_or_an_allowed_region_are_named);
	tcase_add_test(
	    cases, standby_hosts_are_named_where_no_active_one_qualifies);
	tcase_add_test(cases, the_query_of_a_caller_is_read);
	tcase_add_test(cases, regions_are_read_from_the_settings);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
