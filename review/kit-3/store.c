#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * The platform's store: range, watch, transactions and leases, with all of its
 * history; and the calls of the singleton duties, which are accepted. Keys are
 * kept as the text within a JSON string, so that any key can be written.
 */

enum {
	CHANGES_MAX = 20000,
	LEASES_MAX = 4096,
	FIRST_LEASE = 100,
	PAGE_ITEMS_MAX = 500,
	WATCH_POLL_MS = 5,
	WATCH_MAX_MS = 30000,
};

/* One write or removal; the last one of a key is its present state. */
typedef struct change {
	char *key_text;
	char *value; /* base64; NULL: removed */
	int64_t revision;
	int64_t lease; /* 0: none */
} change_t;

typedef struct lease {
	int64_t ttl_ms;
	int64_t ends_ms;
	bool ended;
} lease_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static change_t changes[CHANGES_MAX];
static size_t change_count;
static int64_t revision = 1;
static lease_t leases[LEASES_MAX];
static int64_t lease_count;
static int64_t era = 1;
static bool away;

/* What a copy of the store holds. */
static struct {
	size_t change_count;
	int64_t revision;
	lease_t leases[LEASES_MAX];
	int64_t lease_count;
	int64_t taken_ms;
} copy;

static const change_t *
find_last(const char *key_text)
{
	for (size_t i = change_count; i-- > 0;)
		if (strcmp(changes[i].key_text, key_text) == 0)
			return &changes[i];
	return NULL;
}

static void
add_change(const char *key_text, const char *value, int64_t lease)
{
	if (change_count == CHANGES_MAX)
		kit_fail("the store is full");
	changes[change_count++] = (change_t){.key_text = strdup(key_text),
	    .value = value == NULL ? NULL : strdup(value),
	    .revision = revision,
	    .lease = lease};
}

/* Base64 with padding; to be freed. */
static char *
encode(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);
	char *out = malloc(length * 2 + 8), *end = out;

	for (size_t i = 0; i < length; i += 3) {
		unsigned char bytes[3] = {0};
		size_t count = length - i < 3 ? length - i : 3;

		memcpy(bytes, text + i, count);
		*end++ = digits[bytes[0] >> 2];
		*end++ = digits[(bytes[0] & 3) << 4 | bytes[1] >> 4];
		*end++ = count < 2
			     ? '='
			     : digits[(bytes[1] & 15) << 2 | bytes[2] >> 6];
		*end++ = count < 3 ? '=' : digits[bytes[2] & 63];
	}
	*end = '\0';
	return out;
}

void
kit_store_put(const char *key_text, const char *value)
{
	char *encoded = encode(value);

	pthread_mutex_lock(&lock);
	revision++;
	add_change(key_text, encoded, 0);
	pthread_mutex_unlock(&lock);
	free(encoded);
}

static bool
is_alive(int64_t lease)
{
	return lease > FIRST_LEASE && lease <= FIRST_LEASE + lease_count &&
	       !leases[lease - FIRST_LEASE - 1].ended;
}

/* Removes the keys of leases that have ended. */
static void
expire(void)
{
	bool ended = false;
	size_t count = change_count;

	for (int64_t i = 0; i < lease_count; i++) {
		if (leases[i].ended || leases[i].ends_ms > kit_now_ms())
			continue;
		leases[i].ended = true;
		ended = true;
	}
	if (!ended)
		return;
	revision++;
	for (size_t i = 0; i < count; i++) {
		const change_t *change = &changes[i];

		if (change->value != NULL && change->lease != 0 &&
		    !is_alive(change->lease) &&
		    find_last(change->key_text) == change)
			add_change(change->key_text, NULL, 0);
	}
}

static void
reply(int fd, unsigned status, const char *body)
{
	kit_sendf(fd,
	    "HTTP/1.1 %u Status\r\nContent-Type: application/json\r\n"
	    "Store-Era: %lld\r\nContent-Length: %zu\r\n\r\n%s",
	    status, (long long)era, strlen(body), body);
}

static void
print_item(FILE *out, const change_t *change)
{
	if (change->value == NULL)
		fprintf(out,
		    "{\"key\":\"%s\",\"revision\":%lld,\"removed\":true}",
		    change->key_text, (long long)change->revision);
	else
		fprintf(out,
		    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
		    "\"created\":%lld,\"lease\":%lld}",
		    change->key_text, change->value,
		    (long long)change->revision, (long long)change->revision,
		    (long long)change->lease);
}

/* The value of a query's parameter; its escapes are not decoded. */
static void
get_parameter(const char *target, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);

	value[0] = '\0';
	for (const char *at = strchr(target, '?'); at != NULL;
	     at = strchr(at, '&')) {
		at++;
		if (strncmp(at, name, length) != 0 || at[length] != '=')
			continue;
		at += length + 1;
		snprintf(value, size, "%.*s", (int)strcspn(at, "&"), at);
		return;
	}
}

static int
compare_keys(const void *left, const void *right)
{
	const change_t *a = *(const change_t *const *)left;
	const change_t *b = *(const change_t *const *)right;

	return strcmp(a->key_text, b->key_text);
}

/* All items fit into one page here. */
static char *
range_text(const char *prefix)
{
	const change_t *present[PAGE_ITEMS_MAX];
	size_t count = 0, size;
	char *text;
	FILE *out = open_memstream(&text, &size);

	for (size_t i = 0; i < change_count && count < PAGE_ITEMS_MAX; i++)
		if (changes[i].value != NULL &&
		    strncmp(changes[i].key_text, prefix, strlen(prefix)) == 0 &&
		    find_last(changes[i].key_text) == &changes[i])
			present[count++] = &changes[i];
	qsort(present, count, sizeof(*present), compare_keys);
	fprintf(out, "{\"items\":[");
	for (size_t i = 0; i < count; i++) {
		fputs(i == 0 ? "" : ",", out);
		print_item(out, present[i]);
	}
	fprintf(
	    out, "],\"has_more\":false,\"as_of\":%lld}", (long long)revision);
	fclose(out);
	return text;
}

/* The events after a revision; NULL: there are none. */
static char *
events_text(const char *prefix, int64_t after, bool is_due)
{
	size_t count = 0, size;
	char *text;
	FILE *out = open_memstream(&text, &size);

	fprintf(out, "{\"events\":[");
	for (size_t i = 0; i < change_count; i++) {
		if (changes[i].revision <= after ||
		    strncmp(changes[i].key_text, prefix, strlen(prefix)) != 0)
			continue;
		fputs(count++ == 0 ? "" : ",", out);
		print_item(out, &changes[i]);
	}
	fprintf(out, "],\"as_of\":%lld}", (long long)revision);
	fclose(out);
	if (count > 0 || is_due)
		return text;
	free(text);
	return NULL;
}

static void
serve_watch(int fd, const char *target)
{
	char prefix[KIT_TEXT_MAX], after[32], wait[32];
	int64_t limit_ms, wait_ms;
	int64_t era_before = era;
	char *text = NULL;

	get_parameter(target, "path_prefix", prefix, sizeof(prefix));
	get_parameter(target, "after", after, sizeof(after));
	get_parameter(target, "wait_ms", wait, sizeof(wait));
	wait_ms = atoll(wait) < WATCH_MAX_MS ? atoll(wait) : WATCH_MAX_MS;
	limit_ms = kit_now_ms() + wait_ms;
	if (atoll(after) > revision) {
		reply(fd, 410, "{}");
		return;
	}
	while (text == NULL) {
		if (away || era != era_before) {
			reply(fd, 503, "{}");
			return;
		}
		pthread_mutex_lock(&lock);
		expire();
		text =
		    events_text(prefix, atoll(after), kit_now_ms() >= limit_ms);
		pthread_mutex_unlock(&lock);
		if (text == NULL)
			kit_sleep_ms(WATCH_POLL_MS);
	}
	reply(fd, 200, text);
	free(text);
}

static bool
conditions_hold(const json_t *body)
{
	const json_t *condition;
	size_t i;

	json_array_foreach (
	    json_object_get(body, "expected_rev"), i, condition) {
		const change_t *last = find_last(
		    json_string_value(json_object_get(condition, "key")));
		int64_t present =
		    last == NULL || last->value == NULL ? 0 : last->revision;

		if (present !=
		    json_integer_value(json_object_get(condition, "revision")))
			return false;
	}
	return true;
}

/* Status of a transaction; applies it where that is 200. */
static unsigned
commit(const json_t *body)
{
	const json_t *entry;
	size_t i;

	json_array_foreach (json_object_get(body, "writes"), i, entry) {
		int64_t lease =
		    json_integer_value(json_object_get(entry, "lease"));

		if (lease != 0 && !is_alive(lease))
			return 404;
	}
	if (!conditions_hold(body))
		return 412;
	revision++;
	json_array_foreach (json_object_get(body, "writes"), i, entry)
		add_change(json_string_value(json_object_get(entry, "key")),
		    json_string_value(json_object_get(entry, "value")),
		    json_integer_value(json_object_get(entry, "lease")));
	json_array_foreach (json_object_get(body, "remove"), i, entry)
		add_change(json_string_value(entry), NULL, 0);
	return 200;
}

static void
serve_commit(int fd, const kit_message_t *request)
{
	json_t *body = json_loads(request->body, 0, NULL);
	char text[KIT_TEXT_MAX];
	unsigned status;

	pthread_mutex_lock(&lock);
	expire();
	status = body == NULL ? 400 : commit(body);
	snprintf(text, sizeof(text), "{\"revision\":%lld,\"items\":[]}",
	    (long long)revision);
	pthread_mutex_unlock(&lock);
	json_decref(body);
	reply(fd, status, text);
}

static void
serve_grant(int fd, const kit_message_t *request)
{
	json_t *body = json_loads(request->body, 0, NULL);
	int64_t ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
	char text[KIT_TEXT_MAX];

	pthread_mutex_lock(&lock);
	if (lease_count == LEASES_MAX)
		kit_fail("the store has no more leases");
	leases[lease_count++] =
	    (lease_t){.ttl_ms = ttl_ms, .ends_ms = kit_now_ms() + ttl_ms};
	snprintf(text, sizeof(text), "{\"lease\":%lld,\"ttl_ms\":%lld}",
	    (long long)FIRST_LEASE + lease_count, (long long)ttl_ms);
	pthread_mutex_unlock(&lock);
	json_decref(body);
	reply(fd, 200, text);
}

/* Renews a lease, or ends it. */
static void
serve_lease(int fd, int64_t id, bool end)
{
	char text[KIT_TEXT_MAX] = "{}";
	unsigned status = 404;

	pthread_mutex_lock(&lock);
	expire();
	if (is_alive(id)) {
		lease_t *lease = &leases[id - FIRST_LEASE - 1];

		status = 200;
		lease->ends_ms = kit_now_ms() + (end ? 0 : lease->ttl_ms);
		snprintf(text, sizeof(text), "{\"lease\":%lld,\"ttl_ms\":%lld}",
		    (long long)id, (long long)lease->ttl_ms);
		expire();
	}
	pthread_mutex_unlock(&lock);
	reply(fd, status, text);
}

static void
serve_range(int fd, const char *target)
{
	char prefix[KIT_TEXT_MAX];
	char *text;

	get_parameter(target, "path_prefix", prefix, sizeof(prefix));
	pthread_mutex_lock(&lock);
	expire();
	text = range_text(prefix);
	pthread_mutex_unlock(&lock);
	reply(fd, 200, text);
	free(text);
}

static void (*usage_callback)(
    const char *holder, const char *token, const char *body);
static int64_t highest_token;

void
kit_store_on_usage(
    void (*on_usage)(const char *holder, const char *token, const char *body))
{
	usage_callback = on_usage;
}

static void
serve_usage(int fd, const kit_message_t *request)
{
	char holder[64], token[64];
	bool stale;

	kit_header(request, "X-Duty-Holder", holder, sizeof(holder));
	kit_header(request, "X-Fence-Token", token, sizeof(token));
	pthread_mutex_lock(&lock);
	stale = atoll(token) < highest_token;
	if (!stale)
		highest_token = atoll(token);
	pthread_mutex_unlock(&lock);
	if (!stale && usage_callback != NULL)
		usage_callback(holder, token, request->body);
	reply(fd, stale ? 409 : 200, "{}");
}

static bool
starts_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

static void
serve_call(int fd, const kit_message_t *request)
{
	static const char keep[] = "/v1/kv-keep/", end[] = "/v1/kv-lease-end/";
	const char *target = request->target;

	if (away && starts_with(target, "/v1/"))
		reply(fd, 503, "{}");
	else if (starts_with(target, "/v1/kv-range"))
		serve_range(fd, target);
	else if (starts_with(target, "/v1/kv-watch"))
		serve_watch(fd, target);
	else if (starts_with(target, "/v1/kv-txn"))
		serve_commit(fd, request);
	else if (starts_with(target, keep))
		serve_lease(fd, atoll(target + strlen(keep)), false);
	else if (starts_with(target, end))
		serve_lease(fd, atoll(target + strlen(end)), true);
	else if (starts_with(target, "/v1/kv-lease"))
		serve_grant(fd, request);
	else if (starts_with(target, "/usage"))
		serve_usage(fd, request);
	else if (starts_with(target, "/scale"))
		reply(fd, 200, "{}");
	else
		reply(fd, 404, "{}");
}

static void
run(int fd, void *data)
{
	kit_message_t request;

	while (kit_read_request(fd, &request)) {
		serve_call(fd, &request);
		kit_message_clear(&request);
	}
	kit_message_clear(&request);
	close(fd);
}

void
kit_store_set_away(bool is_away)
{
	away = is_away;
}

void
kit_store_copy(void)
{
	pthread_mutex_lock(&lock);
	copy.change_count = change_count;
	copy.revision = revision;
	memcpy(copy.leases, leases, sizeof(leases));
	copy.lease_count = lease_count;
	copy.taken_ms = kit_now_ms();
	pthread_mutex_unlock(&lock);
}

/* The leases of the copy have the time left that they had in it. */
void
kit_store_restore(void)
{
	pthread_mutex_lock(&lock);
	change_count = copy.change_count;
	revision = copy.revision;
	memcpy(leases, copy.leases, sizeof(leases));
	lease_count = copy.lease_count;
	for (int64_t i = 0; i < lease_count; i++)
		leases[i].ends_ms += kit_now_ms() - copy.taken_ms;
	era++;
	pthread_mutex_unlock(&lock);
}

int
kit_store_start(void)
{
	int port = 0;
	kit_server_t server = {.listener = kit_listen(&port), .run = run};

	kit_serve(&server);
	return port;
}
