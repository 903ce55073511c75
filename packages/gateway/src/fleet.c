/*
 * Registry of the known upstreams, with what this entry knows about the health
 * and the cache of each.
 */
#include "ks/gateway.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/*
 * Prompt parts remembered for each upstream. An engine's memory holds fewer of
 * the sizes seen in production, and the table takes 160 KB of this process at
 * most.
 */
#define MAX_CACHED_PARTS 2048

/* An engine evicts parts that have not been used for this long. */
#define CACHE_LIFETIME_US (60 * KS_USEC_PER_SEC)

/* Weight of the latest outcome in the moving average of failures. */
#define FAILURE_RATE_WEIGHT 0.2

/*
 * The failure rate decays, so that an avoided upstream is tried again after a
 * few half-lives.
 */
#define FAILURE_RATE_HALF_LIFE_US (3 * KS_USEC_PER_SEC)

/*
 * Removed upstreams whose withdrawal is remembered, in case the announcement
 * had only lapsed and comes back. The oldest one is forgotten first.
 */
#define MAX_WITHDRAWN 1024

/* Longest text of a software version that is logged, in bytes. */
#define MAX_LOGGED_SOFTWARE 40

/**
 * struct part_use - the last use of a prompt part at an upstream
 * @used_us: when it was used
 * @stored_tokens: value of the member's @stored_tokens at that time
 */
struct part_use {
	int64_t used_us;
	int64_t stored_tokens;
};

ks_member_t *ks_member_ref(ks_member_t *member)
{
	member->refs++;
	return member;
}

void ks_member_unref(ks_member_t *member)
{
	if (!member || --member->refs)
		return;
	g_free(member->id);
	g_free(member->service);
	g_free(member->software);
	g_free(member->domain);
	g_hash_table_destroy(member->cached);
	g_free(member);
}

static void on_unlisted(gpointer data)
{
	ks_member_t *member = data;

	member->listed = false;
	member->accepting = false;
	ks_member_unref(member);
}

void ks_fleet_init(ks_fleet_t *fleet)
{
	fleet->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     on_unlisted);
	fleet->by_tag = g_hash_table_new(NULL, NULL);
	fleet->latest_origins =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->n_mixtures = 0;
	fleet->compared_us = 0;
	g_queue_init(&fleet->withdrawn);
}

void ks_fleet_deinit(ks_fleet_t *fleet)
{
	ks_member_t *member;

	while ((member = g_queue_pop_head(&fleet->withdrawn)))
		ks_member_unref(member);
	g_hash_table_destroy(fleet->by_id);
	g_hash_table_destroy(fleet->by_tag);
	g_hash_table_destroy(fleet->latest_origins);
}

static ks_member_t *new_member(ks_str_t id)
{
	ks_member_t *member = g_new0(ks_member_t, 1);

	member->refs = 1;
	member->id = ks_str_dup(id);
	member->tag = XXH32(id.data, id.len, 0);
	member->listed = true;
	member->cached = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	ks_ejection_init(&member->health);
	ks_capacity_init(&member->capacity);
	return member;
}

static void replace_text(char **field, ks_str_t text)
{
	if (*field && ks_str_equal(ks_str_from(*field), text))
		return;
	g_free(*field);
	*field = ks_str_dup(text);
}

static void set_software(ks_member_t *member, ks_str_t text)
{
	text.len = MIN(text.len, MAX_LOGGED_SOFTWARE);
	replace_text(&member->software, text);
	for (char *at = member->software; *at; at++)
		if (!g_ascii_isgraph(*at))
			*at = '?';
}

ks_member_t *ks_fleet_find(const ks_fleet_t *fleet, ks_str_t id)
{
	char *key = ks_str_dup(id);
	ks_member_t *member = g_hash_table_lookup(fleet->by_id, key);

	g_free(key);
	return member;
}

/**
 * ks_fleet_find_tag() - find an upstream by the hash of its id
 */
ks_member_t *ks_fleet_find_tag(const ks_fleet_t *fleet, uint32_t tag)
{
	return g_hash_table_lookup(fleet->by_tag, GUINT_TO_POINTER(tag));
}

static void remember_withdrawal(ks_fleet_t *fleet, ks_member_t *member)
{
	const ks_withdrawal_t *said = &member->withdrawal;

	if (!said->leaving_us && !said->away_until_us && said->limit.per_s <= 0)
		return;
	/* The record of its cache is the largest part of a member. */
	g_hash_table_remove_all(member->cached);
	g_queue_push_tail(&fleet->withdrawn, ks_member_ref(member));
	if (fleet->withdrawn.length > MAX_WITHDRAWN)
		ks_member_unref(g_queue_pop_head(&fleet->withdrawn));
}

static uint64_t origin_of(const ks_member_spec_t *spec)
{
	uint64_t service = XXH64(spec->service.data, spec->service.len, 0);

	return XXH64(spec->software.data, spec->software.len, service);
}

static uint64_t process_of(const ks_member_spec_t *spec)
{
	uint64_t start = XXH64(&spec->process_start_ms,
			       sizeof(spec->process_start_ms), origin_of(spec));

	return XXH64(spec->id.data, spec->id.len, start);
}

static bool is_same_process(const ks_member_t *member,
			    const ks_member_spec_t *spec)
{
	return member->process_start_ms == spec->process_start_ms &&
	       member->address.port == spec->address.port &&
	       !strcmp(member->address.ip, spec->address.ip) &&
	       member->origin == origin_of(spec);
}

/**
 * ks_fleet_update_withdrawal() - pass on what an upstream said to a request
 *
 * The announcement of the upstream may have lapsed since the request was sent,
 * and may have come back: there is then another record of it, or none.
 */
void ks_fleet_update_withdrawal(ks_fleet_t *fleet, ks_member_t *member)
{
	ks_member_t *listed;

	if (member->listed)
		return;
	listed = ks_fleet_find(fleet, ks_str_from(member->id));
	if (listed && listed->process_start_ms == member->process_start_ms)
		ks_withdrawal_merge(&listed->withdrawal, &member->withdrawal);
	else if (!g_queue_find(&fleet->withdrawn, member))
		remember_withdrawal(fleet, member);
}

/* Restores what the process has said of itself before it was removed. */
static void recall_withdrawal(ks_fleet_t *fleet, ks_member_t *member,
			      const ks_member_spec_t *spec)
{
	for (GList *it = fleet->withdrawn.head; it; it = it->next) {
		ks_member_t *before = it->data;

		if (strcmp(before->id, member->id) != 0 ||
		    !is_same_process(before, spec))
			continue;
		ks_withdrawal_merge(&member->withdrawal, &before->withdrawal);
		g_queue_delete_link(&fleet->withdrawn, it);
		ks_member_unref(before);
		return;
	}
}

static void note_put(ks_fleet_t *fleet, const ks_member_t *member)
{
	uint64_t *latest =
		g_hash_table_lookup(fleet->latest_origins, member->service);

	if (latest && *latest == member->origin)
		return;
	fleet->n_mixtures += latest != NULL;
	g_hash_table_replace(
		fleet->latest_origins, g_strdup(member->service),
		g_memdup2(&member->origin, sizeof(member->origin)));
}

static void note_removal(ks_fleet_t *fleet, const ks_member_t *removed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_member_t *member = value;

		if (member->origin != removed->origin &&
		    !strcmp(member->service, removed->service)) {
			fleet->n_mixtures++;
			return;
		}
	}
}

static void remove_member(ks_fleet_t *fleet, ks_member_t *member)
{
	note_removal(fleet, member);
	remember_withdrawal(fleet, member);
	g_hash_table_remove(fleet->by_tag, GUINT_TO_POINTER(member->tag));
	g_hash_table_remove(fleet->by_id, member->id);
}

/**
 * ks_fleet_put() - add an upstream or update it from its announcement
 *
 * If its process has been restarted, its cache and its requests are lost, so
 * the old member is removed and a new one takes its place.
 */
ks_member_t *ks_fleet_put(ks_fleet_t *fleet, const ks_member_spec_t *spec)
{
	ks_member_t *member = ks_fleet_find(fleet, spec->id);

	if (member && !is_same_process(member, spec)) {
		remove_member(fleet, member);
		member = NULL;
	}
	if (!member) {
		member = new_member(spec->id);
		recall_withdrawal(fleet, member, spec);
		g_hash_table_insert(fleet->by_id, member->id, member);
		g_hash_table_insert(fleet->by_tag,
				    GUINT_TO_POINTER(member->tag), member);
	}
	replace_text(&member->service, spec->service);
	set_software(member, spec->software);
	member->origin = origin_of(spec);
	member->process = process_of(spec);
	replace_text(&member->domain, spec->domain);
	member->address = spec->address;
	member->stage = spec->stage;
	member->process_start_ms = spec->process_start_ms;
	member->slots = spec->slots;
	member->accepting = spec->accepting;
	member->remove_at_us = 0;
	note_put(fleet, member);
	return member;
}

void ks_fleet_remove(ks_fleet_t *fleet, ks_str_t id)
{
	ks_member_t *member = ks_fleet_find(fleet, id);

	if (member)
		remove_member(fleet, member);
}

/**
 * ks_fleet_remove_at() - schedule the removal of an upstream
 *
 * The announcement of an upstream may have expired only because the store was
 * unavailable. If the upstream is announced again before @at_us, the removal is
 * cancelled.
 */
void ks_fleet_remove_at(ks_fleet_t *fleet, ks_str_t id, int64_t at_us)
{
	ks_member_t *member = ks_fleet_find(fleet, id);

	if (member && !member->remove_at_us)
		member->remove_at_us = at_us;
}

/**
 * ks_fleet_expire() - carry out the scheduled removals that are due
 *
 * Return: the number of upstreams removed.
 */
size_t ks_fleet_expire(ks_fleet_t *fleet, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ks_member_t *member = value;

		if (!member->remove_at_us || member->remove_at_us > now_us)
			continue;
		note_removal(fleet, member);
		remember_withdrawal(fleet, member);
		g_hash_table_remove(fleet->by_tag,
				    GUINT_TO_POINTER(member->tag));
		g_hash_table_iter_remove(&iter);
		n++;
	}
	return n;
}

/**
 * ks_fleet_listed() - get the upstreams of a service, those that drain included
 *
 * Return: an array that holds no references; free it with g_ptr_array_free().
 */
GPtrArray *ks_fleet_listed(const ks_fleet_t *fleet, const char *service)
{
	GPtrArray *members = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ks_member_t *member = value;

		if (!strcmp(member->service, service))
			g_ptr_array_add(members, member);
	}
	return members;
}

/**
 * ks_fleet_members() - get the upstreams of a service that accept requests
 *
 * Return: an array that holds no references; free it with g_ptr_array_free().
 */
GPtrArray *ks_fleet_members(const ks_fleet_t *fleet, const char *service)
{
	GPtrArray *members = ks_fleet_listed(fleet, service);

	for (guint i = members->len; i-- > 0;) {
		const ks_member_t *member = members->pdata[i];

		if (!member->accepting)
			g_ptr_array_remove_index_fast(members, i);
	}
	return members;
}

/**
 * ks_fleet_available() - get the upstreams of a service that may be sent
 * requests now
 * @notice_us: for how long after it has said so an upstream that leaves is
 *	used; 0 for not at all
 *
 * Return: an array that holds no references; free it with g_ptr_array_free().
 */
GPtrArray *ks_fleet_available(const ks_fleet_t *fleet, const char *service,
			      int64_t notice_us, int64_t now_us)
{
	GPtrArray *members = ks_fleet_members(fleet, service);

	for (guint i = members->len; i-- > 0;) {
		const ks_member_t *member = members->pdata[i];

		if (!ks_withdrawal_permits(&member->withdrawal, now_us) ||
		    !ks_withdrawal_accepts(&member->withdrawal, notice_us,
					   now_us))
			g_ptr_array_remove_index_fast(members, i);
	}
	return members;
}

/**
 * ks_fleet_find_process() - find an upstream by the hash of its process
 *
 * Return: NULL if no announced upstream has it.
 */
ks_member_t *ks_fleet_find_process(const ks_fleet_t *fleet, uint64_t process)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((ks_member_t *)value)->process == process)
			return value;
	return NULL;
}

/**
 * ks_members_keep_origin() - leave the upstreams that are known to have an
 * origin
 * @origin: 0 leaves all
 */
void ks_members_keep_origin(GPtrArray *members, uint64_t origin)
{
	for (guint i = members->len; origin && i-- > 0;) {
		const ks_member_t *member = members->pdata[i];

		if (member->origin != origin || member->is_replaced)
			g_ptr_array_remove_index_fast(members, i);
	}
}

/**
 * ks_fleet_return_us() - when an upstream of a service wants requests again
 * @origin: of the upstreams that count, 0 for all
 *
 * Return: the earliest time of those that want none now, 0 if there is none.
 */
int64_t ks_fleet_return_us(const ks_fleet_t *fleet, const char *service,
			   uint64_t origin, int64_t now_us)
{
	GPtrArray *members = ks_fleet_members(fleet, service);
	int64_t first = 0;

	ks_members_keep_origin(members, origin);
	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];
		int64_t at_us =
			ks_withdrawal_next_us(&member->withdrawal, now_us);

		if (!member->withdrawal.leaving_us && at_us > now_us &&
		    (!first || at_us < first))
			first = at_us;
	}
	g_ptr_array_free(members, TRUE);
	return first;
}

/* The speeds change by a few observations in this time. */
#define COMPARE_INTERVAL_US (250 * KS_USEC_PER_MSEC)

static gint compare_services(gconstpointer a, gconstpointer b)
{
	const ks_member_t *x = *(const ks_member_t *const *)a;
	const ks_member_t *y = *(const ks_member_t *const *)b;

	return strcmp(x->service, y->service);
}

/**
 * ks_fleet_compare_speeds() - compare the speeds of the upstreams of each
 * service, if it has not been done lately
 *
 * Return: false if it has.
 */
bool ks_fleet_compare_speeds(ks_fleet_t *fleet, int64_t now_us)
{
	GPtrArray *members, *capacities;
	GHashTableIter iter;
	gpointer value;

	if (fleet->compared_us &&
	    now_us - fleet->compared_us < COMPARE_INTERVAL_US)
		return false;
	fleet->compared_us = now_us;
	members = g_ptr_array_new();
	capacities = g_ptr_array_new();
	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(members, value);
	g_ptr_array_sort(members, compare_services);
	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = g_ptr_array_index(members, i);

		g_ptr_array_add(capacities, &member->capacity);
		if (i + 1 < members->len &&
		    !compare_services(&members->pdata[i],
				      &members->pdata[i + 1]))
			continue;
		ks_capacities_compare((ks_capacity_t **)capacities->pdata,
				      capacities->len, now_us);
		g_ptr_array_set_size(capacities, 0);
	}
	g_ptr_array_free(members, TRUE);
	g_ptr_array_free(capacities, TRUE);
	return true;
}

/**
 * ks_member_process_tag() - identify the process of an upstream
 *
 * A restarted one keeps its id.
 */
uint32_t ks_member_process_tag(const ks_member_t *member)
{
	return XXH32(&member->process_start_ms,
		     sizeof(member->process_start_ms), member->tag);
}

static uint64_t add_text(uint64_t hash, const char *text)
{
	return XXH64(text, strlen(text) + 1, hash);
}

static uint64_t member_digest(const ks_member_t *member)
{
	uint64_t hash = add_text(0, member->id);

	hash = XXH64(&member->origin, sizeof(member->origin), hash);
	hash = add_text(hash, member->domain);
	hash = add_text(hash, member->address.ip);
	hash = XXH64(&member->address.port, sizeof(member->address.port), hash);
	hash = XXH64(&member->process_start_ms,
		     sizeof(member->process_start_ms), hash);
	return hash + (uint64_t)member->stage * 2 + member->accepting;
}

/**
 * ks_fleet_digest() - hash of all that the upstreams have announced
 *
 * Two entries that know the same announcements have the same digest.
 */
uint64_t ks_fleet_digest(const ks_fleet_t *fleet)
{
	GHashTableIter iter;
	uint64_t digest = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint64_t hash = member_digest(value);

		/* Mixed, as the sum must not depend on the order. */
		digest += XXH64(&hash, sizeof(hash), 0);
	}
	return digest;
}

/**
 * ks_member_failure_rate() - get the moving average of failures, 0 to 1
 *
 * The value decays over time, because an upstream that gets no requests cannot
 * prove that it has recovered.
 */
double ks_member_failure_rate(const ks_member_t *member, int64_t now_us)
{
	double age = (double)(now_us - member->failure_rate_us) /
		     (double)FAILURE_RATE_HALF_LIFE_US;

	return member->failure_rate > 0 ? member->failure_rate * exp2(-age) : 0;
}

/**
 * ks_member_record_outcome() - record the outcome of a request
 */
void ks_member_record_outcome(ks_member_t *member, bool failed, int64_t now_us)
{
	double before = ks_member_failure_rate(member, now_us);

	member->failure_rate =
		before + FAILURE_RATE_WEIGHT * ((failed ? 1 : 0) - before);
	member->failure_rate_us = now_us;
}

/**
 * ks_member_record_part() - record that a part and all parts before it are
 * cached
 */
void ks_member_record_part(ks_member_t *member, uint64_t part, int64_t now_us)
{
	struct part_use *use = g_hash_table_lookup(member->cached, &part);

	if (!use) {
		if (g_hash_table_size(member->cached) >= MAX_CACHED_PARTS)
			g_hash_table_remove_all(member->cached);
		use = g_new0(struct part_use, 1);
		g_hash_table_insert(member->cached,
				    g_memdup2(&part, sizeof(part)), use);
	}
	use->used_us = now_us;
	use->stored_tokens = member->stored_tokens;
}

/**
 * ks_member_record_cached() - record that an upstream has prefilled a prompt
 * @cache_tokens: share of the cache that holds this entry's prompts
 */
void ks_member_record_cached(ks_member_t *member, const ks_prompt_t *prompt,
			     int64_t cache_tokens, int64_t now_us)
{
	int64_t present =
		ks_member_cached_tokens(member, prompt, cache_tokens, now_us);

	member->stored_tokens += prompt->total_tokens - present;
	for (size_t i = 0; i < prompt->n_parts; i++)
		ks_member_record_part(member, prompt->ids[i], now_us);
}

/**
 * ks_member_cached_tokens() - estimate how much of a prompt is cached
 * @cache_tokens: share of the cache that holds this entry's prompts
 *
 * A part counts as evicted once it has not been used for long or once this
 * entry has stored @cache_tokens other tokens since its last use.
 *
 * Return: number of tokens that need not be prefilled again.
 */
int64_t ks_member_cached_tokens(const ks_member_t *member,
				const ks_prompt_t *prompt, int64_t cache_tokens,
				int64_t now_us)
{
	int64_t tokens = 0;

	for (size_t i = 0; i < prompt->n_parts; i++) {
		const struct part_use *use =
			g_hash_table_lookup(member->cached, &prompt->ids[i]);

		if (!use || now_us - use->used_us > CACHE_LIFETIME_US ||
		    member->stored_tokens - use->stored_tokens >= cache_tokens)
			break;
		tokens += prompt->tokens[i];
	}
	return tokens;
}
