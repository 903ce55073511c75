/*
 * Opens and closes links to upstreams as the configuration changes. Of each
 * group, an entry connects to a subset of settings->subset upstreams.
 */
#include "entry_internal.h"

/* Size and decay of the estimate of an engine's prefix cache. */
#define PREFIX_CACHE_BLOCKS 4096
#define PREFIX_CACHE_HALF_LIFE_US (300 * KS_USEC_PER_SEC)
#define POLL_JITTER 0.2
/* Reconnecting takes up to 1 s; 1 s more avoids retries after short outages. */
#define LINK_LOST_US (2 * KS_USEC_PER_SEC)

/*
 * A heartbeat and its reply take about 230 bytes with framing, encryption and
 * TCP/IP headers. The heartbeats of idle links may use half of the 9 KB/s that
 * a node may spend on control traffic.
 */
#define HEARTBEAT_PAIR_BYTES 230
#define MAX_IDLE_BYTES_PER_S 4500
#define MAX_IDLE_HEARTBEAT_US (10 * KS_USEC_PER_SEC)

static void on_link_changed(void *ctx, ks_link_client_t *link)
{
	struct entry_upstream *upstream = ctx;

	ks_config_observe_version(upstream->entry->config,
				  ks_link_client_peer_version(link));
	if (ks_link_client_is_up(link)) {
		upstream->is_link_lost = false;
		ks_timer_clear(&upstream->lost_timer);
	} else if (!upstream->is_link_lost &&
		   !ks_timer_is_set(&upstream->lost_timer)) {
		ks_timer_set(&upstream->lost_timer, LINK_LOST_US);
	}
	if (upstream->group->queued)
		entry_group_admit_queued(upstream->group);
}

/*
 * Handles a link that stays down. The link reports the outcome of its attempts
 * only when it is up again, which may never happen.
 */
static void on_lost_timer(void *ctx)
{
	struct entry_upstream *upstream = ctx;
	ks_list_t *last = upstream->attempts.prev;

	upstream->is_link_lost = true;
	ks_log(KS_LOG_LINK, KS_LOG_WARN,
	       "link to %s is still down; retrying its idempotent requests",
	       upstream->id);
	for (ks_list_t *it = upstream->attempts.next, *next;
	     it != &upstream->attempts; it = next) {
		next = it == last ? &upstream->attempts : it->next;
		entry_attempt_link_lost(
			KS_CONTAINER_OF(it, struct entry_attempt, node));
	}
	if (upstream->is_withdrawn)
		ks_timer_set(&upstream->entry->reap_timer, 0);
}

static void on_link_config(void *ctx, uint64_t version, ks_str_t digest,
			   ks_str_t body)
{
	const struct entry_upstream *upstream = ctx;

	ks_config_offer(upstream->entry->config, version, digest, body);
}

static ks_str_t link_config_body(void *ctx, uint64_t *version, ks_str_t *digest)
{
	const struct entry_upstream *upstream = ctx;
	ks_snapshot_t *snapshot = ks_config_current(upstream->entry->config);

	if (!snapshot) {
		*version = 0;
		*digest = (ks_str_t){ NULL, 0 };
		return (ks_str_t){ NULL, 0 };
	}
	*version = snapshot->version;
	*digest = (ks_str_t){ (const char *)snapshot->digest.bytes,
			      KS_DIGEST_SIZE };
	return ks_snapshot_compressed(snapshot);
}

static const ks_link_client_events_t link_events = {
	.changed = on_link_changed,
	.config = on_link_config,
	.config_body = link_config_body,
};

static ks_link_client_t *open_link(struct entry_upstream *upstream,
				   const ks_address_t *address)
{
	ks_entry_t *entry = upstream->entry;
	const ks_settings_t *settings = entry->settings;
	ks_link_client_options_t options = {
		.entry = settings->name,
		.domain = settings->domain,
		.upstream = upstream->id,
		.incarnation = entry->incarnation,
		.address = *address,
		.security = {
			.plain = settings->link_plain,
			.server_key = settings->link_server_key,
			.public_key = settings->link_public_key,
			.secret_key = settings->link_secret_key,
		},
		.heartbeat_us = settings->heartbeat_ms * KS_USEC_PER_MSEC,
		.silence_us = settings->silence_ms * KS_USEC_PER_MSEC,
	};

	return ks_link_client_new(entry->loop, entry->zmq, &options,
				  &link_events, upstream);
}

static void free_upstream(struct entry_upstream *upstream)
{
	ks_list_remove(&upstream->node);
	ks_timer_clear(&upstream->lost_timer);
	if (upstream->link)
		ks_link_client_free(upstream->link);
	KS_LIST_FOREACH_SAFE (it, tmp, &upstream->attempts) {
		ks_list_remove(it);
		g_free(KS_CONTAINER_OF(it, struct entry_attempt, node));
	}
	ks_prefix_index_free(upstream->prefix_cache);
	g_free(upstream->id);
	g_free(upstream->process);
	g_free(upstream->host);
	g_free(upstream->domain);
	g_free(upstream);
}

static void add_upstream(ks_entry_t *entry, struct entry_group *group,
			 const ks_upstream_t *from)
{
	struct entry_upstream *upstream;
	ks_address_t address;

	if (!ks_address_parse(&address, ks_str_from(from->process), NULL)) {
		ks_log(KS_LOG_CONFIG, KS_LOG_ERROR,
		       "upstream %s ignored: invalid process address",
		       from->id);
		return;
	}
	upstream = g_new0(struct entry_upstream, 1);
	upstream->entry = entry;
	upstream->group = group;
	upstream->id = g_strdup(from->id);
	upstream->process = g_strdup(from->process);
	upstream->host = g_strdup(from->host);
	upstream->domain = g_strdup(from->domain);
	upstream->prefill_us = ENTRY_PREFILL_US;
	upstream->decode_us = ENTRY_DECODE_US;
	ks_timer_init(&upstream->lost_timer, entry->loop, on_lost_timer,
		      upstream);
	ks_list_init(&upstream->attempts);
	ks_ejection_init(&upstream->ejection);
	upstream->prefix_cache = ks_prefix_index_new(PREFIX_CACHE_BLOCKS,
						     PREFIX_CACHE_HALF_LIFE_US);
	ks_list_append(&entry->upstreams, &upstream->node);
	g_ptr_array_add(group->members, upstream);
	upstream->limit = from->limit;
	upstream->can_resume = from->resumes;
	upstream->link = open_link(upstream, &address);
}

static struct entry_upstream *find_upstream(const struct entry_group *group,
					    const ks_upstream_t *wanted)
{
	for (unsigned i = 0; i < group->members->len; i++) {
		struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		if (!strcmp(upstream->id, wanted->id) &&
		    !strcmp(upstream->process, wanted->process) &&
		    !g_strcmp0(upstream->host, wanted->host) &&
		    !strcmp(upstream->domain, wanted->domain))
			return upstream;
	}
	return NULL;
}

static void withdraw(struct entry_upstream *upstream)
{
	upstream->is_withdrawn = true;
	ks_timer_set(&upstream->entry->reap_timer, 0);
}

/* Opens missing links of a group, and withdraws upstreams not chosen. */
static void apply_subset(struct entry_group *group, const GPtrArray *wanted,
			 const size_t *chosen, size_t n_chosen)
{
	GPtrArray *old = group->members;

	group->members = g_ptr_array_new();
	for (size_t i = 0; i < n_chosen; i++) {
		const ks_upstream_t *from =
			g_ptr_array_index(wanted, chosen[i]);
		struct entry_group previous = { .members = old };
		struct entry_upstream *upstream =
			find_upstream(&previous, from);

		if (!upstream) {
			add_upstream(group->entry, group, from);
			continue;
		}
		upstream->limit = from->limit;
		upstream->can_resume = from->resumes;
		g_ptr_array_add(group->members, upstream);
		g_ptr_array_remove(old, upstream);
	}
	for (unsigned i = 0; i < old->len; i++)
		withdraw(g_ptr_array_index(old, i));
	g_ptr_array_unref(old);
}

static void apply_group(struct entry_group *group, const GPtrArray *wanted)
{
	ks_entry_t *entry = group->entry;
	size_t count = wanted->len;
	ks_str_t *ids = g_new(ks_str_t, count + 1);
	ks_str_t *domains = g_new(ks_str_t, count + 1);
	size_t *chosen = g_new(size_t, count + 1);
	size_t n_chosen = 0;

	for (size_t i = 0; i < count; i++) {
		const ks_upstream_t *upstream = g_ptr_array_index(wanted, i);

		ids[i] = ks_str_from(upstream->id);
		domains[i] = ks_str_from(upstream->domain);
	}
	if (count)
		n_chosen = ks_subset_choose(
			ks_str_from(entry->settings->name), ids, domains, count,
			MIN(entry->settings->subset, count), chosen);
	apply_subset(group, wanted, chosen, n_chosen);
	g_free(ids);
	g_free(domains);
	g_free(chosen);
}

static void add_wanted_upstream(ks_entry_t *entry,
				const ks_upstream_t *upstream,
				GHashTable *by_group)
{
	bool is_model = upstream->model != NULL;
	const char *name = is_model ? upstream->model : upstream->service;
	struct entry_group *group;
	GPtrArray *wanted;

	if (!name)
		return;
	group = entry_group_get(entry, is_model, ks_str_from(name));
	wanted = g_hash_table_lookup(by_group, group);
	if (!wanted) {
		wanted = g_ptr_array_new();
		g_hash_table_insert(by_group, group, wanted);
	}
	g_ptr_array_add(wanted, (void *)upstream);
}

/*
 * Sets the heartbeat period of idle links so that all links together stay
 * within MAX_IDLE_BYTES_PER_S.
 */
static void set_idle_heartbeats(ks_entry_t *entry)
{
	int64_t least = entry->settings->heartbeat_ms * KS_USEC_PER_MSEC;
	int64_t period = 0;

	KS_LIST_FOREACH (it, &entry->upstreams)
		period += HEARTBEAT_PAIR_BYTES * KS_USEC_PER_SEC /
			  MAX_IDLE_BYTES_PER_S;
	period = MAX(MIN(period, MAX_IDLE_HEARTBEAT_US), least);
	KS_LIST_FOREACH (it, &entry->upstreams)
		ks_link_client_set_idle_heartbeat(
			KS_CONTAINER_OF(it, struct entry_upstream, node)->link,
			period);
}

/**
 * entry_fleet_apply() - open and close links according to a new configuration
 *
 * A link that is no longer needed is closed once nothing is in flight on it.
 */
void entry_fleet_apply(ks_entry_t *entry, ks_snapshot_t *snapshot)
{
	GHashTable *by_group = g_hash_table_new_full(
		NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
	GPtrArray *none = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	for (unsigned i = 0; i < snapshot->upstreams->len; i++)
		add_wanted_upstream(entry,
				    g_ptr_array_index(snapshot->upstreams, i),
				    by_group);
	g_hash_table_iter_init(&it, entry->groups);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		GPtrArray *wanted = g_hash_table_lookup(by_group, value);

		apply_group(value, wanted ? wanted : none);
	}
	g_hash_table_unref(by_group);
	g_ptr_array_unref(none);
	set_idle_heartbeats(entry);
	KS_LIST_FOREACH (node, &entry->upstreams)
		ks_link_client_set_version(
			KS_CONTAINER_OF(node, struct entry_upstream, node)
				->link,
			snapshot->version);
}

/*
 * Whether a withdrawn upstream can be freed. Attempts on a lost link do not
 * prevent that if no request is attached to them.
 */
static bool is_unused(const struct entry_upstream *upstream)
{
	if (!upstream->in_flight || !upstream->is_link_lost)
		return !upstream->in_flight;
	KS_LIST_FOREACH (it, &upstream->attempts)
		if (KS_CONTAINER_OF(it, struct entry_attempt, node)->request)
			return false;
	return true;
}

/**
 * entry_fleet_has_attempts() - whether an attempt has not ended on a link that
 * works
 */
bool entry_fleet_has_attempts(const ks_entry_t *entry)
{
	KS_LIST_FOREACH (it, &entry->upstreams) {
		const struct entry_upstream *upstream =
			KS_CONTAINER_OF(it, struct entry_upstream, node);

		if (upstream->in_flight && !upstream->is_link_lost)
			return true;
	}
	return false;
}

/**
 * entry_fleet_reap() - free withdrawn upstreams that are no longer in use
 */
void entry_fleet_reap(void *ctx)
{
	ks_entry_t *entry = ctx;

	KS_LIST_FOREACH_SAFE (it, tmp, &entry->upstreams) {
		struct entry_upstream *upstream =
			KS_CONTAINER_OF(it, struct entry_upstream, node);

		if (upstream->is_withdrawn && is_unused(upstream))
			free_upstream(upstream);
	}
}

static bool is_listed(const char *host, const ks_str_t *hosts, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (ks_str_equal(ks_str_from(host), hosts[i]))
			return true;
	return false;
}

static void on_hosts(void *ctx, bool ok, const ks_str_t *leaving,
		     size_t n_leaving)
{
	ks_entry_t *entry = ctx;
	int64_t period = entry->settings->poll_ms * KS_USEC_PER_MSEC;

	ks_timer_set(&entry->hosts_timer,
		     ks_rng_jitter(&entry->rng, period, POLL_JITTER));
	/* If the list cannot be read, the previous one stays in force. */
	if (!ok)
		return;
	KS_LIST_FOREACH (it, &entry->upstreams) {
		struct entry_upstream *upstream =
			KS_CONTAINER_OF(it, struct entry_upstream, node);
		bool listed = upstream->host &&
			      is_listed(upstream->host, leaving, n_leaving);

		if (listed == upstream->is_host_leaving)
			continue;
		upstream->is_host_leaving = listed;
		ks_link_client_set_leaving_seen(upstream->link, listed);
	}
}

/**
 * entry_fleet_poll_hosts() - request the platform's list of leaving hosts
 */
void entry_fleet_poll_hosts(void *ctx)
{
	ks_entry_t *entry = ctx;

	entry->platform.platform.hosts(entry->platform.platform.impl, on_hosts,
				       entry);
}

/**
 * entry_fleet_init() - initialize without links
 */
void entry_fleet_init(ks_entry_t *entry)
{
	entry->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      entry_group_free);
	ks_list_init(&entry->upstreams);
	ks_timer_init(&entry->hosts_timer, entry->loop, entry_fleet_poll_hosts,
		      entry);
	ks_timer_init(&entry->reap_timer, entry->loop, entry_fleet_reap, entry);
}

/**
 * entry_fleet_deinit() - close all links
 */
void entry_fleet_deinit(ks_entry_t *entry)
{
	ks_timer_clear(&entry->hosts_timer);
	ks_timer_clear(&entry->reap_timer);
	KS_LIST_FOREACH_SAFE (it, tmp, &entry->upstreams)
		free_upstream(KS_CONTAINER_OF(it, struct entry_upstream, node));
	g_hash_table_unref(entry->groups);
}
