#include "backend.h"
#include "suite.h"

static json_t *
settings_json(const char *service)
{
	return json_pack("{s:{s:{s:s,s:s,s:[s]},s:{s:s,s:s,s:[s]}},"
			 "s:{s:{s:s,s:s,s:s,s:s,s:s,s:s}},s:{s:{}}}",
	    "services", "chat", "kind", "model", "current", "v1", "versions",
	    "v1", "draft", "kind", "model", "current", "v1", "versions", "v1",
	    "backends", "e0", "address", "127.0.0.1:1", "host", "h0", "zone",
	    "zone-a", "class", "a", "service", service, "version", "v1",
	    "workspaces", "depot");
}

static void
apply_settings(backends_t *backends, int64_t revision, const char *service)
{
	json_t *json = settings_json(service);
	GError *error = NULL;
	settings_tree_t *tree =
	    settings_tree_parse("t1", revision, "a", "", json, "f", &error);

	ck_assert_msg(tree != NULL, "%s", error != NULL ? error->message : "");
	backends_apply(backends, tree);
	settings_tree_unref(tree);
	json_decref(json);
}

static unsigned
service_backend_count(const backends_t *backends, const char *service)
{
	GPtrArray *out = g_ptr_array_new();
	unsigned count;

	backends_of_service(backends, service, out);
	count = out->len;
	g_ptr_array_free(out, TRUE);
	return count;
}

/* Guards against listing a backend server for its former service. */
START_TEST(backends_are_listed_for_their_current_service)
{
	backends_t *backends = backends_new();

	ck_assert_uint_eq(service_backend_count(backends, "t1/chat"), 0);
	apply_settings(backends, 1, "chat");
	ck_assert_uint_eq(service_backend_count(backends, "t1/chat"), 1);
	apply_settings(backends, 2, "chat");
	ck_assert_uint_eq(service_backend_count(backends, "t1/chat"), 1);
	apply_settings(backends, 3, "draft");
	ck_assert_uint_eq(service_backend_count(backends, "t1/chat"), 0);
	ck_assert_uint_eq(service_backend_count(backends, "t1/draft"), 1);
	backends_free(backends);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("backend");
	TCase *tests = tcase_create("backend");

	tcase_add_test(tests, backends_are_listed_for_their_current_service);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
