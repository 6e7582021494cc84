#include "digest.h"

#include "message_scan.h"
#include "msgpack_codec.h"

#include <math.h>
#include <string.h>

enum {
	FORMAT_VERSION = 6,
	/* Fields of the first release; later ones follow and are optional. */
	DIGEST_FIELDS_MIN = 17,
	DIGEST_DEMAND_INDEX = DIGEST_FIELDS_MIN,
	DIGEST_ZONE_INDEX,
	DIGEST_STORE_ERA_INDEX,
	DIGEST_RECORDED_WINDOW_INDEX,
	DIGEST_MOVE_ERAS_INDEX,
	DIGEST_UNPROVEN_INDEX,
	DIGEST_LIVENESS_INDEX,
	DIGEST_FIELDS,
	LOAD_FIELDS = 5,
	SPENDING_FIELDS = 3,
	USAGE_FIELDS = 3,
	MOVE_FIELDS = 4,
	CRASH_FIELDS = 4,
	SURVIVAL_FIELDS = 2,
	LIVENESS_FIELDS = 2,
	EVIDENCE_MAX_BYTES = 16 * 1024,
	NAME_MAX_BYTES = 256,
};

/* In place of the zone in a digest without one; earlier versions require a
 * string. */
static const char no_zone[] = "-";

/* Largest count or number of units in a digest. */
static const double number_max = 1e15;

static void
spending_clear(gpointer item)
{
	g_free(((digest_spending_t *)item)->workspace);
}

static void
usage_clear(gpointer item)
{
	g_free(((digest_usage_t *)item)->workspace);
}

static void
move_clear(gpointer item)
{
	g_free(((digest_move_t *)item)->service);
	g_free(((digest_move_t *)item)->evidence);
}

digest_t *
digest_new(void)
{
	digest_t *digest = g_new0(digest_t, 1);

	digest->spending = g_array_new(FALSE, TRUE, sizeof(digest_spending_t));
	digest->loads = g_array_new(FALSE, TRUE, sizeof(digest_load_t));
	digest->usage = g_array_new(FALSE, TRUE, sizeof(digest_usage_t));
	digest->moves = g_array_new(FALSE, TRUE, sizeof(digest_move_t));
	digest->crashes = g_array_new(FALSE, TRUE, sizeof(digest_crash_t));
	digest->survivals = g_array_new(FALSE, TRUE, sizeof(digest_survival_t));
	digest->liveness = g_array_new(FALSE, TRUE, sizeof(digest_liveness_t));
	g_array_set_clear_func(digest->moves, move_clear);
	g_array_set_clear_func(digest->spending, spending_clear);
	g_array_set_clear_func(digest->usage, usage_clear);
	return digest;
}

void
digest_free(digest_t *digest)
{
	if (digest == NULL)
		return;
	g_free(digest->node);
	g_free(digest->client_address);
	g_free(digest->zone);
	g_array_unref(digest->spending);
	g_array_unref(digest->loads);
	g_array_unref(digest->usage);
	g_array_unref(digest->moves);
	g_array_unref(digest->crashes);
	g_array_unref(digest->survivals);
	g_array_unref(digest->liveness);
	g_free(digest);
}

static void
pack_spending(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len * SPENDING_FIELDS);
	for (guint i = 0; i < list->len; i++) {
		const digest_spending_t *item =
		    &g_array_index(list, digest_spending_t, i);

		mp_pack_string(packer, item->workspace);
		msgpack_pack_double(packer, item->spent_units);
		msgpack_pack_int64(packer, (int64_t)item->bucket_level);
	}
}

/* One number for each item of pack_spending(), in the same order. */
static void
pack_demand(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len);
	for (guint i = 0; i < list->len; i++)
		msgpack_pack_int64(
		    packer, (int64_t)g_array_index(list, digest_spending_t, i)
				.demand_per_s);
}

static void
pack_loads(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len * LOAD_FIELDS);
	for (guint i = 0; i < list->len; i++) {
		const digest_load_t *item =
		    &g_array_index(list, digest_load_t, i);

		msgpack_pack_uint32(packer, item->server_tag);
		msgpack_pack_uint32(packer, item->load.in_flight);
		msgpack_pack_int64(packer, (int64_t)item->load.prefill_tokens);
		msgpack_pack_int64(
		    packer, (int64_t)item->load.urgent_prefill_tokens);
		msgpack_pack_int64(packer, (int64_t)item->load.kv_tokens);
	}
}

static void
pack_usage(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len * USAGE_FIELDS);
	for (guint i = 0; i < list->len; i++) {
		const digest_usage_t *item =
		    &g_array_index(list, digest_usage_t, i);

		msgpack_pack_int64(packer, item->window);
		mp_pack_string(packer, item->workspace);
		msgpack_pack_int64(packer, (int64_t)item->count);
	}
}

static void
pack_moves(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len * MOVE_FIELDS);
	for (guint i = 0; i < list->len; i++) {
		const digest_move_t *item =
		    &g_array_index(list, digest_move_t, i);

		mp_pack_string(packer, item->service);
		msgpack_pack_int64(packer, item->revision);
		msgpack_pack_int(packer, item->stopped);
		mp_pack_string(packer, item->evidence);
	}
}

/* One number for each item of pack_moves(), in the same order. */
static void
pack_move_eras(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len);
	for (guint i = 0; i < list->len; i++)
		msgpack_pack_int64(
		    packer, g_array_index(list, digest_move_t, i).era);
}

/* Segment ids are sent as signed integers of the same bits. */
static void
pack_crashes(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len * CRASH_FIELDS);
	for (guint i = 0; i < list->len; i++) {
		const digest_crash_t *item =
		    &g_array_index(list, digest_crash_t, i);

		msgpack_pack_int64(packer, (int64_t)item->segment);
		msgpack_pack_uint32(packer, item->process);
		msgpack_pack_int64(packer, item->sent_ms);
		msgpack_pack_int64(packer, item->crashed_ms);
	}
}

static void
pack_survivals(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len * SURVIVAL_FIELDS);
	for (guint i = 0; i < list->len; i++) {
		const digest_survival_t *item =
		    &g_array_index(list, digest_survival_t, i);

		msgpack_pack_int64(packer, (int64_t)item->segment);
		msgpack_pack_int64(packer, item->began_ms);
	}
}

static void
pack_liveness(msgpack_packer *packer, const GArray *list)
{
	msgpack_pack_array(packer, list->len * LIVENESS_FIELDS);
	for (guint i = 0; i < list->len; i++) {
		const digest_liveness_t *item =
		    &g_array_index(list, digest_liveness_t, i);

		msgpack_pack_uint32(packer, item->process);
		msgpack_pack_int64(packer, item->alive_ms);
	}
}

void
digest_encode(const digest_t *digest, GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, mp_append_bytes);
	msgpack_pack_array(&packer, DIGEST_FIELDS);
	msgpack_pack_int(&packer, FORMAT_VERSION);
	mp_pack_string(&packer, digest->node);
	msgpack_pack_int64(&packer, digest->incarnation);
	msgpack_pack_int64(&packer, digest->sequence);
	mp_pack_string(&packer, digest->client_address);
	msgpack_pack_int(&packer, digest->ready);
	msgpack_pack_int64(&packer, digest->wall_ms);
	msgpack_pack_int64(&packer, digest->configuration_version);
	msgpack_pack_int(&packer, digest->active);
	msgpack_pack_int(&packer, digest->leader);
	msgpack_pack_double(&packer, digest->processors);
	pack_spending(&packer, digest->spending);
	pack_loads(&packer, digest->loads);
	pack_usage(&packer, digest->usage);
	pack_moves(&packer, digest->moves);
	pack_crashes(&packer, digest->crashes);
	pack_survivals(&packer, digest->survivals);
	pack_demand(&packer, digest->spending);
	mp_pack_string(&packer, digest->zone == NULL ? no_zone : digest->zone);
	msgpack_pack_int64(&packer, digest->store_era);
	msgpack_pack_int64(&packer, digest->recorded_window);
	pack_move_eras(&packer, digest->moves);
	msgpack_pack_int(&packer, digest->unproven);
	pack_liveness(&packer, digest->liveness);
}

static bool
read_double(const msgpack_object *object, double *value)
{
	int64_t integer;

	if (mp_read_int64(object, &integer))
		*value = (double)integer;
	else if (object->type == MSGPACK_OBJECT_FLOAT64 ||
		 object->type == MSGPACK_OBJECT_FLOAT32)
		*value = object->via.f64;
	else
		return false;
	/* Sums would not recover from any other value. */
	return isfinite(*value) && fabs(*value) <= number_max;
}

static bool
read_spending(const msgpack_object *object, GArray *list)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, SPENDING_FIELDS, &member, &count))
		return false;
	for (; count > 0; count--, member += SPENDING_FIELDS) {
		digest_spending_t item = {.demand_per_s = -1};

		if (!mp_read_string(
			&member[0], 0, NAME_MAX_BYTES, &item.workspace))
			return false;
		if (!read_double(&member[1], &item.spent_units) ||
		    !read_double(&member[2], &item.bucket_level)) {
			g_free(item.workspace);
			return false;
		}
		g_array_append_val(list, item);
	}
	return true;
}

static bool
read_loads(const msgpack_object *object, GArray *list)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, LOAD_FIELDS, &member, &count))
		return false;
	for (; count > 0; count--, member += LOAD_FIELDS) {
		digest_load_t item = {0};
		int64_t server_tag, in_flight;

		if (!mp_read_int64(&member[0], &server_tag) ||
		    !mp_read_int64(&member[1], &in_flight) || server_tag < 0 ||
		    server_tag > UINT32_MAX || in_flight < 0 ||
		    in_flight > UINT16_MAX ||
		    !read_double(&member[2], &item.load.prefill_tokens) ||
		    !read_double(
			&member[3], &item.load.urgent_prefill_tokens) ||
		    !read_double(&member[4], &item.load.kv_tokens))
			return false;
		item.server_tag = (uint32_t)server_tag;
		item.load.in_flight = (unsigned)in_flight;
		g_array_append_val(list, item);
	}
	return true;
}

static bool
read_usage(const msgpack_object *object, GArray *list)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, USAGE_FIELDS, &member, &count))
		return false;
	for (; count > 0; count--, member += USAGE_FIELDS) {
		digest_usage_t item = {0};

		if (!mp_read_int64(&member[0], &item.window) ||
		    !read_double(&member[2], &item.count) ||
		    !mp_read_string(
			&member[1], 0, NAME_MAX_BYTES, &item.workspace))
			return false;
		g_array_append_val(list, item);
	}
	return true;
}

static bool
read_move(const msgpack_object *member, digest_move_t *item)
{
	int64_t stopped;

	if (!mp_read_int64(&member[1], &item->revision) ||
	    !mp_read_int64(&member[2], &stopped) ||
	    !mp_read_string(&member[0], 0, NAME_MAX_BYTES, &item->service))
		return false;
	item->stopped = stopped != 0;
	if (mp_read_string(&member[3], 0, EVIDENCE_MAX_BYTES, &item->evidence))
		return true;
	g_free(item->service);
	return false;
}

static bool
read_moves(const msgpack_object *object, GArray *list)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, MOVE_FIELDS, &member, &count))
		return false;
	for (; count > 0; count--, member += MOVE_FIELDS) {
		digest_move_t item = {0};

		if (!read_move(member, &item))
			return false;
		g_array_append_val(list, item);
	}
	return true;
}

static bool
read_crashes(const msgpack_object *object, GArray *list)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, CRASH_FIELDS, &member, &count))
		return false;
	for (; count > 0; count--, member += CRASH_FIELDS) {
		digest_crash_t item = {0};
		int64_t segment, process;

		if (!mp_read_int64(&member[0], &segment) ||
		    !mp_read_int64(&member[1], &process) || process < 0 ||
		    process > UINT32_MAX ||
		    !mp_read_int64(&member[2], &item.sent_ms) ||
		    !mp_read_int64(&member[3], &item.crashed_ms))
			return false;
		item.segment = (uint64_t)segment;
		item.process = (uint32_t)process;
		g_array_append_val(list, item);
	}
	return true;
}

static bool
read_survivals(const msgpack_object *object, GArray *list)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, SURVIVAL_FIELDS, &member, &count))
		return false;
	for (; count > 0; count--, member += SURVIVAL_FIELDS) {
		digest_survival_t item = {0};
		int64_t segment;

		if (!mp_read_int64(&member[0], &segment) ||
		    !mp_read_int64(&member[1], &item.began_ms))
			return false;
		item.segment = (uint64_t)segment;
		g_array_append_val(list, item);
	}
	return true;
}

static bool
read_liveness(const msgpack_object *object, GArray *list)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, LIVENESS_FIELDS, &member, &count))
		return false;
	for (; count > 0; count--, member += LIVENESS_FIELDS) {
		digest_liveness_t item = {0};
		int64_t process;

		if (!mp_read_int64(&member[0], &process) || process < 0 ||
		    process > UINT32_MAX ||
		    !mp_read_int64(&member[1], &item.alive_ms))
			return false;
		item.process = (uint32_t)process;
		g_array_append_val(list, item);
	}
	return true;
}

static bool
read_demand(const msgpack_object *object, GArray *spending)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, 1, &member, &count) ||
	    count != spending->len)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		digest_spending_t *item =
		    &g_array_index(spending, digest_spending_t, i);

		if (!read_double(&member[i], &item->demand_per_s))
			return false;
	}
	return true;
}

static bool
read_zone(const msgpack_object *object, char **zone)
{
	if (!mp_read_string(object, 1, NAME_MAX_BYTES, zone))
		return false;
	if (strcmp(*zone, no_zone) == 0)
		g_clear_pointer(zone, g_free);
	return true;
}

static bool
read_move_eras(const msgpack_object *object, GArray *moves)
{
	const msgpack_object *member;
	uint32_t count;

	if (!mp_read_array(object, 1, &member, &count) || count != moves->len)
		return false;
	for (uint32_t i = 0; i < count; i++)
		if (!mp_read_int64(&member[i],
			&g_array_index(moves, digest_move_t, i).era))
			return false;
	return true;
}

static bool
read_flag(const msgpack_object *field, bool *flag)
{
	int64_t value;

	if (!mp_read_int64(field, &value))
		return false;
	*flag = value != 0;
	return true;
}

/* Reads a field that senders of earlier versions leave out. */
static bool
read_optional_field(
    const msgpack_object *field, uint32_t index, digest_t *digest)
{
	switch (index) {
	case DIGEST_DEMAND_INDEX:
		return read_demand(field, digest->spending);
	case DIGEST_ZONE_INDEX:
		return read_zone(field, &digest->zone);
	case DIGEST_STORE_ERA_INDEX:
		return mp_read_int64(field, &digest->store_era);
	case DIGEST_RECORDED_WINDOW_INDEX:
		return mp_read_int64(field, &digest->recorded_window);
	case DIGEST_MOVE_ERAS_INDEX:
		return read_move_eras(field, digest->moves);
	case DIGEST_UNPROVEN_INDEX:
		return read_flag(field, &digest->unproven);
	case DIGEST_LIVENESS_INDEX:
		return read_liveness(field, digest->liveness);
	default:
		return true; /* of a later version */
	}
}

static bool
read_optional_fields(const msgpack_object *array, digest_t *digest)
{
	const msgpack_object *fields = array->via.array.ptr;

	for (uint32_t i = DIGEST_FIELDS_MIN; i < array->via.array.size; i++)
		if (!read_optional_field(&fields[i], i, digest))
			return false;
	return true;
}

static bool
read_digest(const msgpack_object *fields, digest_t *digest)
{
	int64_t version, ready, active, leader;

	if (!mp_read_int64(&fields[0], &version) || version != FORMAT_VERSION ||
	    !mp_read_string(&fields[1], 1, NAME_MAX_BYTES, &digest->node) ||
	    !mp_read_int64(&fields[2], &digest->incarnation) ||
	    !mp_read_int64(&fields[3], &digest->sequence) ||
	    !mp_read_string(
		&fields[4], 1, NAME_MAX_BYTES, &digest->client_address) ||
	    !mp_read_int64(&fields[5], &ready) ||
	    !mp_read_int64(&fields[6], &digest->wall_ms) ||
	    !mp_read_int64(&fields[7], &digest->configuration_version) ||
	    !mp_read_int64(&fields[8], &active) ||
	    !mp_read_int64(&fields[9], &leader) ||
	    !read_double(&fields[10], &digest->processors))
		return false;
	digest->ready = ready != 0;
	digest->active = active != 0;
	digest->leader = leader != 0;
	return read_spending(&fields[11], digest->spending) &&
	       read_loads(&fields[12], digest->loads) &&
	       read_usage(&fields[13], digest->usage) &&
	       read_moves(&fields[14], digest->moves) &&
	       read_crashes(&fields[15], digest->crashes) &&
	       read_survivals(&fields[16], digest->survivals);
}

digest_t *
digest_decode(const char *bytes, size_t length)
{
	digest_t *digest = NULL;
	msgpack_unpacked unpacked;
	size_t offset = 0;

	msgpack_unpacked_init(&unpacked);
	if (message_well_formed(bytes, length) &&
	    msgpack_unpack_next(&unpacked, bytes, length, &offset) ==
		MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    unpacked.data.via.array.size >= DIGEST_FIELDS_MIN) {
		digest = digest_new();
		if (!read_digest(unpacked.data.via.array.ptr, digest) ||
		    !read_optional_fields(&unpacked.data, digest)) {
			digest_free(digest);
			digest = NULL;
		}
	}
	msgpack_unpacked_destroy(&unpacked);
	return digest;
}
