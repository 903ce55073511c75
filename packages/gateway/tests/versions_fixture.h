/*
 * Entries before upstreams of several software versions, which respond when the
 * test tells them to. The entries exchange messages over real sockets.
 */
#ifndef KS_VERSIONS_FIXTURE_H
#define KS_VERSIONS_FIXTURE_H

#include "gateway_fixture.h"

#define VERSIONS_MAX_ENTRIES 4

/**
 * struct versions - entries and upstreams
 * @f: its gateway is the entry that the next call goes to
 * @entries: NULL for one that has ended
 * @software: version of each upstream
 * @id: of the next call, and of the response to it
 */
struct versions {
	struct fixture f;
	unsigned n_entries;
	ks_gateway_t *entries[VERSIONS_MAX_ENTRIES];
	const char *software[FIXTURE_UPSTREAMS];
	const char *id;
	int64_t starts;
};

static inline ks_address_t versions_address(uint16_t port)
{
	return (ks_address_t){ "127.0.0.1", port };
}

/* Announces upstream @i, or changes its announcement, at all entries. */
static inline void versions_put(struct versions *v, int i, const char *service,
				const char *software, ks_stage_t stage,
				bool accepting)
{
	char id[8];
	ks_member_spec_t spec = {
		.service = ks_str_from(service),
		.software = ks_str_from(software),
		.domain = KS_STR("d1"),
		.address = versions_address(v->f.upstreams[i].server.port),
		.stage = stage,
		.process_start_ms = v->starts,
		.accepting = accepting,
	};

	g_snprintf(id, sizeof(id), "u%d", i);
	spec.id = ks_str_from(id);
	v->software[i] = software;
	for (unsigned j = 0; j < v->n_entries; j++)
		if (v->entries[j])
			ks_fleet_put(ks_gateway_fleet(v->entries[j]), &spec);
}

static inline void versions_put_app(struct versions *v, int i,
				    const char *software)
{
	versions_put(v, i, "app", software, KS_STAGE_ANY, true);
}

/* The fixture puts upstreams at once, so that a read has nothing new. */
static inline void versions_read_members(void *ctx,
					 int64_t within_us G_GNUC_UNUSED)
{
	ks_gateway_t *gateway = ctx;

	ks_gateway_members_read(gateway,
				ks_loop_now(ks_gateway_peers(gateway)->loop));
}

static inline void versions_start_entry(struct versions *v, unsigned i)
{
	char name[16];
	ks_gateway_settings_t settings = {
		.listen = versions_address(0),
		.ready = versions_address(0),
		.peer = versions_address(0),
		.name = name,
		.domain = "d1",
		.drain_delay_us = 3 * KS_USEC_PER_SEC,
		.grace_us = 8 * KS_USEC_PER_SEC,
		.leaving_notice_us = 2 * KS_USEC_PER_SEC,
		.retry_ratio = 0.2,
		.retry_slack = 160,
		.retry_window_us = 10 * KS_USEC_PER_SEC,
	};

	g_snprintf(name, sizeof(name), "entry-%u", i + 1);
	v->entries[i] =
		ks_gateway_new(&v->f.loop, &fixture_dialect, &settings, NULL);
	g_assert_nonnull(v->entries[i]);
	v->f.gateway = v->entries[i];
	ks_gateway_set_member_reader(v->entries[i], versions_read_members,
				     v->entries[i]);
	fixture_apply(&v->f, 1);
}

static inline void versions_introduce(struct versions *v, unsigned i,
				      unsigned j)
{
	char name[16];
	ks_address_t address =
		versions_address(ks_gateway_peers(v->entries[j])->port);

	g_snprintf(name, sizeof(name), "entry-%u", j + 1);
	ks_peers_add(ks_gateway_peers(v->entries[i]), name, &address);
}

static inline bool versions_are_connected(const struct versions *v)
{
	for (unsigned i = 0; i < v->n_entries; i++)
		if (ks_peers_n_active(ks_gateway_peers(v->entries[i])) <
		    v->n_entries - 1)
			return false;
	return true;
}

/* Starts entries that know each other, and no upstreams. */
static inline void versions_init(struct versions *v, unsigned n_entries)
{
	memset(v, 0, sizeof(*v));
	fixture_init_bare(&v->f);
	ks_gateway_free(v->f.gateway);
	v->n_entries = n_entries;
	v->starts = 1;
	for (unsigned i = 0; i < n_entries; i++)
		versions_start_entry(v, i);
	for (unsigned i = 0; i < n_entries; i++)
		for (unsigned j = 0; j < n_entries; j++)
			if (i != j)
				versions_introduce(v, i, j);
	for (int i = 0; i < FIXTURE_MAX_STEPS && !versions_are_connected(v);
	     i++)
		fixture_advance(&v->f, 10);
	g_assert_true(versions_are_connected(v));
	v->f.gateway = v->entries[0];
	v->id = "r1";
}

static inline void versions_end_entry(struct versions *v, unsigned i)
{
	ks_gateway_free(v->entries[i]);
	v->entries[i] = NULL;
}

static inline void versions_deinit(struct versions *v)
{
	v->f.gateway = NULL;
	for (unsigned i = 0; i < v->n_entries; i++)
		if (v->entries[i])
			v->f.gateway = v->entries[i];
	for (unsigned i = 0; i < v->n_entries; i++)
		if (v->entries[i] && v->entries[i] != v->f.gateway)
			versions_end_entry(v, i);
	fixture_deinit(&v->f);
}

/* Calls; resumes the stream of the request @resumes after an event, if any. */
static inline void versions_call(struct versions *v,
				 struct fixture_caller *caller,
				 const char *target, const char *resumes,
				 const char *after)
{
	ks_header_t extra[2] = { { KS_STR("last-event-id"), { NULL, 0 } },
				 { KS_STR("x-resumes"), { NULL, 0 } } };

	if (after)
		extra[0].value = ks_str_from(after);
	if (resumes)
		extra[1].value = ks_str_from(resumes);
	fixture_call_as(&v->f, caller, v->id, "POST", target, "prompt", extra,
			resumes ? 2
			: after ? 1
				: 0);
}

static inline void versions_start_response(const struct versions *v,
					   struct fixture_upstream *upstream)
{
	ks_header_t id = { KS_STR("x-id"), ks_str_from(v->id) };

	ks_http1_start(upstream->request, 200, &id, 1, -1);
}

static inline void versions_respond(const struct versions *v,
				    struct fixture_upstream *upstream,
				    const char *body)
{
	versions_start_response(v, upstream);
	fixture_send(upstream, body);
	fixture_end_response(upstream);
}

static inline int versions_index(const struct versions *v,
				 const struct fixture_upstream *upstream)
{
	return (int)(upstream - v->f.upstreams);
}

/* Waits for the request of a caller, and begins a stream with one event. */
static inline int versions_begin(struct versions *v)
{
	struct fixture_upstream *upstream = fixture_wait_request(&v->f);

	versions_start_response(v, upstream);
	fixture_send(upstream, "id: 1\ndata: a\n\n");
	fixture_run_pending(&v->f);
	return versions_index(v, upstream);
}

#endif
