#include "catalog.h"
#include "json.h"
#include "platform_catalog.h"
#include "suite.h"

#include <check.h>
#include <string.h>

/* Depth of a value; the parser's limit is 2,048. */
enum { NESTING = 100000 };

static const char configuration[] =
    "{\"version\": 7, \"routes\": ["
    "{\"name\": \"r1\", \"host\": \"a.example\", \"path_prefix\": \"/x/\","
    " \"route_type\": \"streaming\", \"timeout_ms\": 2500.0,"
    " \"target_latency_ms\": 500, \"priority\": 0, \"service\": \"s1\","
    " \"max_attempts\": 2, \"can_resume\": true, \"gap_aim_ms\": 400},"
    "{\"name\": \"r2\", \"host\": \"a.example\", \"path_prefix\": \"/x/y/\","
    " \"route_type\": \"non_idempotent\", \"timeout_ms\": 900,"
    " \"traffic_split\": [{\"service\": \"s1\", \"weight\": 90},"
    " {\"service\": \"s2\", \"weight\": 10}], \"max_attempts\": 1}],"
    "\"services\": [{\"name\": \"s1\", \"max_connections\": 200,"
    " \"engine\": {\"slots\": 24, \"kv_capacity_tokens\": 444000},"
    " \"scaling\": {\"min_size\": 1, \"max_size\": 12, \"boot_time_s\": 4.0,"
    " \"spot_price\": 0.18, \"zone_prices\": {\"z\": 0.85}}}],"
    "\"limits\": {\"max_header_bytes\": 100, \"max_body_bytes\": 200,"
    " \"header_timeout_ms\": 300, \"idle_timeout_ms\": 400},"
    "\"tenants\": [{\"name\": \"t\", \"api_keys\": [\"k1\", \"k2\"],"
    " \"priority\": 1, \"unit\": \"token_count\", \"plain_tokens\": 200,"
    " \"rate_per_s\": 10, \"burst\": 20}]}";

static catalog_t *
read_configuration(const char *text)
{
	GError *error = NULL;
	catalog_t *catalog = platform_read_catalog(text, strlen(text), &error);

	g_clear_error(&error);
	return catalog;
}

START_TEST(the_route_with_the_longest_prefix_is_found)
{
	catalog_t *catalog = read_configuration(configuration);
	const catalog_route_t *route;

	ck_assert_ptr_nonnull(catalog);
	route = catalog_find_route(catalog, "a.example", "/x/y/z?q=/x/");
	ck_assert_str_eq(route->name, "r2");
	route = catalog_find_route(catalog, "A.Example:80", "/x/z");
	ck_assert_str_eq(route->name, "r1");
	ck_assert_ptr_null(catalog_find_route(catalog, "a.example", "/x"));
	ck_assert_ptr_null(catalog_find_route(catalog, "b.example", "/x/"));
	ck_assert_ptr_null(catalog_find_route(catalog, "a.example", "/?/x/"));
	catalog_unref(catalog);
}
END_TEST

/* Guards against retries of requests whose route type does not allow them. */
START_TEST(retries_follow_the_route_type)
{
	catalog_t *catalog = read_configuration(configuration);

	ck_assert(
	    catalog_may_retry(catalog_find_route(catalog, "a.example", "/x/")));
	ck_assert(!catalog_may_retry(
	    catalog_find_route(catalog, "a.example", "/x/y/")));
	catalog_unref(catalog);
}
END_TEST

START_TEST(every_field_is_read)
{
	catalog_t *catalog = read_configuration(configuration);
	const catalog_service_t *service = catalog_find_service(catalog, "s1");
	const catalog_workspace_t *workspace =
	    catalog_find_workspace(catalog, "k2");
	const catalog_route_t *route =
	    catalog_find_route(catalog, "a.example", "/x/");

	ck_assert_int_eq(catalog->version, 7);
	ck_assert_uint_eq(catalog->limits.body_bytes, 200);
	ck_assert_int_eq(catalog->limits.idle_timeout_ms, 400);
	ck_assert_int_eq(route->timeout_ms, 2500);
	ck_assert_int_eq(route->objective_ms, 500);
	ck_assert_int_eq(route->gap_objective_ms, 400);
	ck_assert_uint_eq(route->max_attempts, 2);
	ck_assert(service->is_engine);
	ck_assert_uint_eq(service->batch_size, 24);
	ck_assert_int_eq(service->scaling->boot_ms, 4000);
	ck_assert_str_eq(workspace->name, "t");
	ck_assert(workspace->counts_tokens);
	ck_assert_double_eq(workspace->burst, 20);
	ck_assert_ptr_null(catalog_find_workspace(catalog, "k3"));
	catalog_unref(catalog);
}
END_TEST

START_TEST(a_split_follows_its_weights)
{
	catalog_t *catalog = read_configuration(configuration);
	const catalog_route_t *route =
	    catalog_find_route(catalog, "a.example", "/x/y/");
	int s2_count = 0;

	for (uint64_t i = 0; i < 1000; i++)
		if (strcmp(catalog_pick_service(route, i), "s2") == 0)
			s2_count++;
	ck_assert_int_eq(s2_count, 100);
	catalog_unref(catalog);
}
END_TEST

static const char regional_configuration[] =
    "{\"version\": %d, \"routes\": ["
    "{\"name\": \"r1\", \"host\": \"a\", \"path_prefix\": \"/1\","
    " \"route_type\": \"idempotent\", \"allowed_regions\": %s},"
    "{\"host\": \"a\", \"path_prefix\": \"/2\","
    " \"route_type\": \"idempotent\", \"allowed_regions\": %s}],"
    "\"tenants\": [{\"name\": \"t\", \"api_keys\": [\"k\"],"
    " \"allowed_regions\": %s}]}";

static catalog_t *
read_regional(
    int version, const char *route, const char *other, const char *workspace)
{
	char *text = g_strdup_printf(
	    regional_configuration, version, route, other, workspace);
	catalog_t *catalog = read_configuration(text);

	g_free(text);
	return catalog;
}

/* Guards against a list of regions that is taken for all of them. */
START_TEST(allowed_regions_are_read)
{
	static const char *const bad[] = {
	    "\"r\"", "{}", "[1]", "[\"r\", null]"};
	catalog_t *catalog =
	    read_regional(1, "[\"home\", \"far\"]", "[]", "[\"home\"]");
	const catalog_route_t *route = catalog_find_route(catalog, "a", "/1");

	ck_assert_uint_eq(g_strv_length(route->allowed_regions), 2);
	ck_assert_str_eq(route->allowed_regions[1], "far");
	route = catalog_find_route(catalog, "a", "/2");
	ck_assert_ptr_null(route->allowed_regions);
	ck_assert_str_eq(
	    catalog_find_workspace(catalog, "k")->allowed_regions[0], "home");
	catalog_unref(catalog);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		ck_assert_ptr_null(read_regional(1, bad[i], "[]", "[]"));
		ck_assert_ptr_null(read_regional(1, "[]", "[]", bad[i]));
	}
}
END_TEST

/* Guards against the rule of an earlier version, or of another route. */
START_TEST(a_route_is_found_in_another_version)
{
	catalog_t *old = read_regional(1, "[\"home\"]", "[]", "[]");
	catalog_t *new = read_regional(2, "[]", "[\"far\"]", "[\"home\"]");
	catalog_t *other = read_configuration(configuration);
	const catalog_route_t *named = catalog_find_route(old, "a", "/1");
	const catalog_route_t *unnamed = catalog_find_route(old, "a", "/2");
	const catalog_workspace_t *workspace = catalog_find_workspace(old, "k");

	ck_assert_ptr_eq(catalog_find_same_route(new, named),
	    catalog_find_route(new, "a", "/1"));
	ck_assert_ptr_eq(catalog_find_same_route(new, unnamed),
	    catalog_find_route(new, "a", "/2"));
	ck_assert_ptr_eq(catalog_find_same_workspace(new, workspace),
	    catalog_find_workspace(new, "k"));
	/* By its name, after it has got another host and path. */
	ck_assert_ptr_eq(catalog_find_same_route(other, named),
	    catalog_find_route(other, "a.example", "/x/"));
	ck_assert_ptr_null(catalog_find_same_route(other, unnamed));
	catalog_unref(old);
	catalog_unref(new);
	catalog_unref(other);
}
END_TEST

/* Guards against a crash on a malformed configuration, or using part of it. */
START_TEST(a_malformed_configuration_is_rejected_entirely)
{
	static const char bad_route_type[] =
	    "{\"routes\": [{\"host\": \"a\", \"path_prefix\": \"/\","
	    " \"route_type\": \"other\"}]}";
	static const char *const bad[] = {
	    "", "[]x", "{\"routes\": [{}]}", bad_route_type};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_ptr_null(read_configuration(bad[i]));
}
END_TEST

static server_info_t *
read_entry(const char *text)
{
	GError *error = NULL;
	server_info_t *info =
	    platform_read_server("i-1", text, strlen(text), &error);

	ck_assert((info == NULL) == (error != NULL));
	g_clear_error(&error);
	return info;
}

/* Guards against requests to a server whose entry is malformed. */
START_TEST(a_malformed_entry_is_rejected)
{
	static const char bad_state[] =
	    "{\"service\": \"s\", \"address\": \"1.2.3.4:5\", \"zone\": \"z\","
	    " \"state\": \"other\", \"slots\": 4}";
	static const char bad_slots[] =
	    "{\"service\": \"s\", \"address\": \"1.2.3.4:5\", \"zone\": \"z\","
	    " \"state\": \"ready\", \"slots\": \"4\"}";
	static const char bad_service[] =
	    "{\"service\": 7, \"address\": \"1.2.3.4:5\", \"zone\": \"z\","
	    " \"state\": \"ready\", \"slots\": 4}";
	static const char *const bad[] = {
	    "", "\xff\xfe", "[]", "{}", bad_state, bad_slots, bad_service};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_ptr_null(read_entry(bad[i]));
}
END_TEST

/* An entry with one field replaced, or added. Free with g_free(). */
static char *
make_entry(const char *name, const char *value)
{
	json_t *entry = json_loads(
	    "{\"service\": \"s\", \"address\": \"1.2.3.4:5\", \"zone\": \"z\","
	    " \"state\": \"ready\", \"slots\": 4}",
	    0, NULL);
	char *text;

	json_object_set_new(
	    entry, name, json_loads(value, JSON_DECODE_ANY, NULL));
	text = json_text(entry);
	json_decref(entry);
	return text;
}

static const struct odd_field {
	const char *name;
	const char *value;
} odd_fields[] = {
    {"slots", "0"},
    {"slots", "-1"},
    {"slots", "4294967296"},
    {"slots", "9223372036854775807"},
    {"slots", "1e300"},
    {"address", "\"1.2.3.4\""},
    {"address", "\"1.2.3.4:\""},
    {"address", "\"1.2.3.4:0\""},
    {"address", "\"1.2.3.4:-1\""},
    {"address", "\"1.2.3.4:+5\""},
    {"address", "\"1.2.3.4: 5\""},
    {"address", "\"1.2.3.4:70000\""},
    {"address", "\"1.2.3.4:99999999999999999999\""},
    {"address", "\"1.2.3.4.5.6.7.8:5\""},
    {"address", "\"host:5\""},
    {"address", "\"\""},
    {"leaves_ms", "1e300"},
    {"leaves_ms", "-1e300"},
    {"leaves_ms", "9223372036854775807"},
    {"leaves_ms", "\"1\""},
    {"cold_remaining_ms", "1e300"},
    {"cold_remaining_ms", "9223372036854775807"},
    {"cold_remaining_ms", "[]"},
    {"born", "1e300"},
    {"born", "-1"},
    {"born", "9223372036854775807"},
    {"born", "\"1\""},
    {"sequence", "-1"},
    {"sequence", "1e300"},
    {"sequence", "9223372036854775807"},
    {"sequence", "\"1\""},
};

/*
 * Guards against a server that is called by an entry of another writer with a
 * value that is out of range, or changed by its conversion.
 */
START_TEST(an_entry_with_an_odd_value_is_rejected)
{
	const struct odd_field *field = &odd_fields[_i];
	char *text = make_entry(field->name, field->value);

	ck_assert_msg(read_entry(text) == NULL, "%s is accepted", text);
	g_free(text);
}
END_TEST

/* Guards against an entry whose id adds headers to the requests. */
START_TEST(an_entry_with_an_odd_id_is_rejected)
{
	static const char *const ids[] = {
	    "", "a b", "a\r\nX-Tenant: t", "a\tb", "\xc3\xa4"};
	char *text = make_entry("slots", "4");

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		GError *error = NULL;

		ck_assert_ptr_null(
		    platform_read_server(ids[i], text, strlen(text), &error));
		ck_assert_ptr_nonnull(error);
		g_error_free(error);
	}
	g_free(text);
}
END_TEST

/* Guards against a process that ends, or hangs, by a deeply nested entry. */
START_TEST(a_deeply_nested_entry_is_rejected)
{
	char *brackets = g_strnfill(NESTING, '[');
	char *entry = g_strconcat("{\"service\": ", brackets, NULL);

	ck_assert_ptr_null(read_entry(brackets));
	ck_assert_ptr_null(read_entry(entry));
	g_free(brackets);
	g_free(entry);
}
END_TEST

/* Guards against a configuration whose numbers do not fit their types. */
START_TEST(numbers_of_a_configuration_are_limited)
{
	catalog_t *catalog = read_configuration(
	    "{\"version\": 1, \"routes\": [{\"name\": \"r\","
	    " \"host\": \"h\", \"path_prefix\": \"/\","
	    " \"route_type\": \"streaming\", \"timeout_ms\": 1e300,"
	    " \"target_latency_ms\": -1e300, \"service\": \"s\","
	    " \"max_attempts\": 9223372036854775807}]}");
	const catalog_route_t *route;

	ck_assert_ptr_nonnull(catalog);
	route = catalog_find_route(catalog, "h", "/");
	ck_assert_int_gt(route->timeout_ms, 0);
	ck_assert_int_le(route->timeout_ms, INT32_MAX);
	ck_assert_int_eq(route->objective_ms, 0);
	ck_assert_uint_eq(route->max_attempts, INT32_MAX);
	catalog_unref(catalog);
}
END_TEST

/* Guards against a limit of cold servers that is not read, or out of range. */
START_TEST(the_limit_of_cold_servers_is_read)
{
	catalog_t *catalog = read_configuration(
	    "{\"version\": 1, \"services\": ["
	    "{\"name\": \"a\", \"cold_start_s\": 2.5, \"cold_per_s\": 16},"
	    "{\"name\": \"b\", \"cold_start_s\": -1, \"cold_per_s\": -1},"
	    "{\"name\": \"c\", \"cold_start_s\": 1e300,"
	    " \"cold_per_s\": \"x\"}]}");
	const catalog_service_t *service;

	ck_assert_ptr_nonnull(catalog);
	service = catalog_find_service(catalog, "a");
	ck_assert_int_eq(service->cold_start_ms, 2500);
	ck_assert_double_eq(service->cold_per_s, 16);
	service = catalog_find_service(catalog, "b");
	ck_assert_int_eq(service->cold_start_ms, 0);
	ck_assert_double_eq(service->cold_per_s, 0);
	service = catalog_find_service(catalog, "c");
	ck_assert_int_le(service->cold_start_ms, 60 * 60 * 1000);
	ck_assert_double_eq(service->cold_per_s, 0);
	catalog_unref(catalog);
}
END_TEST

START_TEST(an_entry_is_read)
{
	server_info_t *info = read_entry(
	    "{\"service\": \"s\", \"address\": \"1.2.3.4:5\", \"zone\": \"z\","
	    " \"state\": \"draining\", \"slots\": 4, \"spot\": true,"
	    " \"leaves_ms\": 2500.5, \"born\": 1700000000000, \"sequence\": "
	    "12}");

	ck_assert_ptr_nonnull(info);
	ck_assert(info->draining);
	ck_assert(info->spot);
	ck_assert_int_eq(info->shutdown_in_ms, 2500);
	ck_assert_int_eq(info->started_ms, 1700000000000);
	ck_assert_int_eq(info->sequence, 12);
	server_info_free(info);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("catalog");
	TCase *cases = tcase_create("catalog");

	tcase_add_test(cases, the_route_with_the_longest_prefix_is_found);
	tcase_add_test(cases, retries_follow_the_route_type);
	tcase_add_test(cases, every_field_is_read);
	tcase_add_test(cases, a_split_follows_its_weights);
	tcase_add_test(cases, allowed_regions_are_read);
	tcase_add_test(cases, a_route_is_found_in_another_version);
	tcase_add_test(cases, a_malformed_configuration_is_rejected_entirely);
	tcase_add_test(cases, a_malformed_entry_is_rejected);
	tcase_add_loop_test(cases, an_entry_with_an_odd_value_is_rejected, 0,
	    G_N_ELEMENTS(odd_fields));
	tcase_add_test(cases, an_entry_with_an_odd_id_is_rejected);
	tcase_add_test(cases, a_deeply_nested_entry_is_rejected);
	tcase_add_test(cases, numbers_of_a_configuration_are_limited);
	tcase_add_test(cases, the_limit_of_cold_servers_is_read);
	tcase_add_test(cases, an_entry_is_read);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
