#include "lapse.h"
#include "suite.h"

#include <check.h>
#include <glib.h>

enum { HEARTBEAT_MS = 1200, NOW_MS = 100000 };

static const struct removal {
	const char *what;
	bool store_unstable;
	int64_t listed_ago_ms;
	int64_t available_ago_ms; /* -1: there was no outage */
	int64_t keep_ms;
} removals[] = {
    {"calm store", false, 300, -1, 0},
    {"calm store, learned late", false, 3000, -1, 0},
    {"long outage", true, 10000, 0, 1800},
    {"long outage, learned late", true, 10000, 700, 1100},
    {"long outage, learned after the time to rewrite", true, 10000, 2000, 0},
    /* Too short for an entry to lapse: the server has left. */
    {"some calls failed", true, 300, 0, 0},
    {"calls failed for a while", true, 2399, 0, 0},
    {"an entry may just have lapsed", true, 2400, 0, 1800},
};

/*
 * Guards against requests at a server that has left, where the node learns of
 * it late; and against the loss of all servers whose entries lapsed in an
 * outage.
 */
START_TEST(a_server_is_kept_where_its_entry_may_have_lapsed)
{
	const struct removal *removal = &removals[_i];
	lapse_situation_t situation = {
	    .store_unstable = removal->store_unstable,
	    .now_ms = NOW_MS,
	    .listed_ms = NOW_MS - removal->listed_ago_ms,
	    .available_ms = removal->available_ago_ms < 0
				? 0
				: NOW_MS - removal->available_ago_ms,
	    .heartbeat_ms = HEARTBEAT_MS,
	};

	ck_assert_msg(lapse_keep_ms(&situation) == removal->keep_ms, "%s: %d",
	    removal->what, (int)lapse_keep_ms(&situation));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("lapse");
	TCase *cases = tcase_create("lapse");

	tcase_add_loop_test(cases,
	    a_server_is_kept_where_its_entry_may_have_lapsed, 0,
	    G_N_ELEMENTS(removals));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
