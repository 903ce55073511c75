/*
 * Decides which upstreams are out of reach. Load pattern: an engine that has
 * lost power answers nothing, and each of many entries sends it a request now
 * and then. Each of them would lose several before it knew by itself, so the
 * entries tell each other of requests that got no response at all.
 *
 * An upstream is avoided if two entries say so and this one has had no response
 * from it lately. An entry that loses requests to many upstreams is probably
 * itself out of reach, and says nothing.
 */
#include "ks/gateway.h"

/*
 * A lost request counts for this long. Requests are then sent again, a few of
 * which tell whether the upstream is back.
 */
#define LIFETIME_US (2 * KS_USEC_PER_SEC)

/* A response received more recently outweighs what other entries say. */
#define RECENT_RESPONSE_US (500 * KS_USEC_PER_MSEC)

/* Entries, this one included, that must have lost a request. */
#define MIN_ENTRIES 2

/* An entry that finds more upstreams out of reach than this share is silent. */
#define MAX_UNREACHED_SHARE 0.3

/**
 * ks_member_record_unanswered() - record a request that got no response
 */
void ks_member_record_unanswered(ks_member_t *member, int64_t now_us)
{
	member->unanswered_us = now_us;
}

/**
 * ks_member_record_response() - record the head of any response
 */
void ks_member_record_response(ks_member_t *member, int64_t now_us)
{
	member->unanswered_us = 0;
	member->response_us = now_us;
}

/**
 * ks_member_is_unanswered() - whether this entry has lost a request lately, and
 * has had no response since
 */
bool ks_member_is_unanswered(const ks_member_t *member, int64_t now_us)
{
	return member->unanswered_us &&
	       now_us - member->unanswered_us < LIFETIME_US;
}

/**
 * ks_member_is_unreachable() - whether to avoid an upstream while others serve
 */
bool ks_member_is_unreachable(const ks_member_t *member, int64_t now_us)
{
	unsigned entries = member->peer_unanswered +
			   ks_member_is_unanswered(member, now_us);

	return entries >= MIN_ENTRIES &&
	       (!member->response_us ||
		now_us - member->response_us > RECENT_RESPONSE_US);
}

/**
 * ks_member_is_silent() - whether requests got no response in a row, and none
 * has since
 *
 * Unlike an ejection, this does not end with time: an upstream that has crashed
 * may be listed for long.
 */
bool ks_member_is_silent(const ks_member_t *member, int64_t now_us)
{
	return (member->unanswered_us &&
		ks_ejection_is_failing(&member->health)) ||
	       ks_member_is_unreachable(member, now_us);
}

/**
 * ks_fleet_unanswered() - get the upstreams that the other entries are to be
 * told of
 *
 * Return: an array that holds no references; free it with g_ptr_array_free().
 */
GPtrArray *ks_fleet_unanswered(const ks_fleet_t *fleet, int64_t now_us)
{
	guint n = g_hash_table_size(fleet->by_id);
	GPtrArray *members = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (ks_member_is_unanswered(value, now_us))
			g_ptr_array_add(members, value);
	if (members->len > MAX_UNREACHED_SHARE * n)
		g_ptr_array_set_size(members, 0);
	return members;
}
