#include "platform_settings.h"

#include "suite.h"

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

/* Loads settings with these limits; NULL with *message set if rejected. */
static gateway_config_t *
load(const char *limits, char **message)
{
	char *text = g_strdup_printf(
	    "{\"node_name\": \"n\", \"zone\": \"z\", \"ip\": \"127.0.0.1\","
	    " \"listen_addrs\": {\"front\": \"127.0.0.1:1\"},"
	    " \"internal_ports\": [2, 3],"
	    " \"platform\": {\"address\": \"127.0.0.1:4\"},"
	    " \"limits\": %s}",
	    limits);
	GError *error = NULL;
	gateway_config_t *config;
	char *path = NULL;
	int fd = g_file_open_tmp("papaya-settings-XXXXXX", &path, NULL);

	ck_assert_int_ge(fd, 0);
	g_close(fd, NULL);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	config = platform_settings_load(path, &error);
	*message = error == NULL ? NULL : g_strdup(error->message);
	g_clear_error(&error);
	g_unlink(path);
	g_free(path);
	g_free(text);
	return config;
}

/* Guards against a memory limit that no process can keep, or in a wrong unit.
 */
START_TEST(memory_out_of_range_is_rejected)
{
	static const char *const rejected[] = {"{\"memory_mb\": 47}",
	    "{\"memory_mb\": 0}", "{\"memory_mb\": -1}",
	    "{\"memory_mb\": 1048577}", "{\"memory_mb\": \"120\"}",
	    "{\"memory_mb\": 120.5}", "{\"memory_mb\": null}"};
	char *message;

	ck_assert_ptr_null(load(rejected[_i], &message));
	ck_assert_ptr_nonnull(message);
	ck_assert_ptr_nonnull(strstr(message, "limits.memory_mb"));
	ck_assert_ptr_nonnull(strstr(message, "48 to 1048576"));
	g_free(message);
}
END_TEST

static const struct accepted {
	const char *limits;
	size_t memory_max;
} accepted[] = {
    {"{}", 0},
    {"{\"memory_mb\": 48}", (size_t)48 * 1024 * 1024},
    {"{\"memory_mb\": 120}", (size_t)120 * 1024 * 1024},
};

/* Guards against a limit that is ignored, or applies where none is set. */
START_TEST(memory_in_range_is_read)
{
	char *message;
	gateway_config_t *config = load(accepted[_i].limits, &message);

	ck_assert_msg(config != NULL, "%s", message);
	ck_assert_uint_eq(config->memory_max, accepted[_i].memory_max);
	gateway_config_free(config);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("platform_settings");
	TCase *cases = tcase_create("platform_settings");

	tcase_add_loop_test(cases, memory_out_of_range_is_rejected, 0, 7);
	tcase_add_loop_test(
	    cases, memory_in_range_is_read, 0, G_N_ELEMENTS(accepted));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
