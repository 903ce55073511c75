/*
 * Entries that learn of upstreams from a store with some delay, and may ask an
 * upstream for its process.
 */
#ifndef KS_PROCESSES_FIXTURE_H
#define KS_PROCESSES_FIXTURE_H

#include "versions_fixture.h"

/**
 * struct world - entries, upstreams and what the store has of these
 * @in_store: software that the row of each upstream names; NULL for no row
 * @starts: starts of its process, as the row states them
 * @now: starts of the process that serves, if it is not the one of the row
 * @is_mute: an upstream that is asked does not say which process it is
 * @is_away: the store does not answer
 * @reads: reads that were answered
 * @readers: struct reader of each entry
 */
struct world {
	struct versions v;
	const char *in_store[FIXTURE_UPSTREAMS];
	int64_t starts[FIXTURE_UPSTREAMS];
	int64_t now[FIXTURE_UPSTREAMS];
	bool is_mute[FIXTURE_UPSTREAMS];
	bool is_away;
	unsigned reads;
	struct reader {
		struct world *world;
		ks_gateway_t *gateway;
		ks_timer_t timer;
		int64_t asked_us;
		ks_timer_t answer;
		GPtrArray *asked;
	} readers[VERSIONS_MAX_ENTRIES];
};

/* The entry @i gets the rows as the store has them. */
static inline void world_put_rows(struct world *w, ks_gateway_t *gateway)
{
	ks_fleet_t *fleet = ks_gateway_fleet(gateway);

	for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
		char id[8];
		ks_member_spec_t spec = {
			.service = KS_STR("app"),
			.domain = KS_STR("d1"),
			.address = versions_address(
				w->v.f.upstreams[i].server.port),
			.process_start_ms = w->starts[i],
			.accepting = true,
		};

		g_snprintf(id, sizeof(id), "u%d", i);
		if (!w->in_store[i]) {
			ks_fleet_remove(fleet, ks_str_from(id));
			continue;
		}
		spec.id = ks_str_from(id);
		spec.software = ks_str_from(w->in_store[i]);
		w->v.software[i] = w->in_store[i];
		ks_fleet_put(fleet, &spec);
	}
}

static inline void world_on_read(void *ctx)
{
	struct reader *reader = ctx;
	struct world *w = reader->world;

	if (w->is_away)
		return;
	world_put_rows(w, reader->gateway);
	w->reads++;
	ks_gateway_members_read(reader->gateway, reader->asked_us);
}

static inline void world_read_members(void *ctx, int64_t within_us)
{
	struct reader *reader = ctx;

	/* The regular reads are those of the test. */
	if (within_us || ks_timer_is_set(&reader->timer))
		return;
	reader->asked_us = ks_loop_now(&reader->world->v.f.loop);
	ks_timer_set(&reader->timer, 5 * KS_USEC_PER_MSEC);
}

static inline void world_on_answer(void *ctx)
{
	struct reader *reader = ctx;
	const struct world *w = reader->world;
	GPtrArray *asked = reader->asked;

	reader->asked = g_ptr_array_new();
	for (guint i = 0; i < asked->len; i++) {
		ks_member_t *member = asked->pdata[i];
		int at = member->id[1] - '0';
		int64_t start = w->now[at] ? w->now[at] : w->starts[at];

		ks_gateway_process_read(reader->gateway, member,
					w->is_mute[at] ? KS_PROCESS_SILENT
					: member->process_start_ms == start
						? KS_PROCESS_SAME
						: KS_PROCESS_OTHER);
		ks_member_unref(member);
	}
	g_ptr_array_free(asked, TRUE);
}

static inline void world_read_process(void *ctx, ks_member_t *member)
{
	struct reader *reader = ctx;

	g_ptr_array_add(reader->asked, ks_member_ref(member));
	ks_timer_set(&reader->answer, 2 * KS_USEC_PER_MSEC);
}

/* Has all entries read the rows. */
static inline void world_read_and_wait(struct world *w)
{
	unsigned before = w->reads, n = 0;

	fixture_advance(&w->v.f, 10);
	for (unsigned i = 0; i < w->v.n_entries; i++) {
		if (!w->v.entries[i])
			continue;
		world_read_members(&w->readers[i], 0);
		n++;
	}
	fixture_advance(&w->v.f, 20);
	g_assert_cmpuint(w->reads, ==, before + n);
}

/* The upstreams of the entries can be asked from now on. */
static inline void world_allow_questions(struct world *w)
{
	for (unsigned i = 0; i < w->v.n_entries; i++)
		ks_gateway_set_process_reader(
			w->v.entries[i], world_read_process, &w->readers[i]);
}

/* Upstreams with these versions; NULL for none. */
static inline void world_init(struct world *w, unsigned n_entries,
			      const char *first, const char *second)
{
	memset(w, 0, sizeof(*w));
	versions_init(&w->v, n_entries);
	w->in_store[0] = first;
	w->in_store[1] = second;
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		w->starts[i] = 1;
	for (unsigned i = 0; i < n_entries; i++) {
		struct reader *reader = &w->readers[i];

		reader->world = w;
		reader->gateway = w->v.entries[i];
		reader->asked = g_ptr_array_new();
		ks_timer_init(&reader->timer, &w->v.f.loop, world_on_read,
			      reader);
		ks_timer_init(&reader->answer, &w->v.f.loop, world_on_answer,
			      reader);
		ks_gateway_set_member_reader(w->v.entries[i],
					     world_read_members, reader);
	}
	world_read_and_wait(w);
}

static inline void world_end_reader(struct world *w, unsigned i)
{
	struct reader *reader = &w->readers[i];

	ks_timer_clear(&reader->timer);
	ks_timer_clear(&reader->answer);
	for (guint j = 0; j < reader->asked->len; j++)
		ks_member_unref(reader->asked->pdata[j]);
	g_ptr_array_set_size(reader->asked, 0);
}

static inline void world_end_entry(struct world *w, unsigned i)
{
	world_end_reader(w, i);
	versions_end_entry(&w->v, i);
}

static inline void world_deinit(struct world *w)
{
	for (unsigned i = 0; i < w->v.n_entries; i++) {
		world_end_reader(w, i);
		g_ptr_array_free(w->readers[i].asked, TRUE);
	}
	versions_deinit(&w->v);
}

/* The process of an upstream is followed by another one, which its row names.
 */
static inline void world_start_again(struct world *w, int i,
				     const char *software)
{
	w->in_store[i] = software;
	w->starts[i]++;
}

#endif
