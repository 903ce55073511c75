/*
 * Upstreams that crash when some requests reach them, and start again, between
 * sound requests. For tests of what the gateway does about such requests.
 */
#ifndef KS_CRASHING_FIXTURE_H
#define KS_CRASHING_FIXTURE_H

#include "gateway_fixture.h"

/* How long after the crashes few requests may be sent any more, and how many.
 */
#define CONTACT_MS 3000
#define MAX_SENT_AFTER 3

#define ROUNDS 24
#define ROUND_MS 400

/**
 * struct engines - the engines of a test, and what it counts
 * @service: of the engines, which may be plain upstreams
 * @known_after: crashes after which few requests may be sent
 * @starts: starts of engines, whose number tells one process from another
 * @sent: requests that crashed an engine
 * @known_us: time of the crash after which few may be sent, 0 before
 * @sent_after: @sent from CONTACT_MS after that time on
 * @without_head: engines crash before the head of their response
 * @late_news: the gateway hears of a restart only after the new process has
 *	refused a request for the one before
 * @restarted: engines of whose restart it has not heard
 */
struct engines {
	struct fixture f;
	const char *service;
	unsigned known_after;
	int64_t starts;
	unsigned sent;
	int64_t known_us;
	unsigned sent_after;
	unsigned own_parts;
	bool without_head;
	bool late_news;
	bool restarted[FIXTURE_UPSTREAMS];
};

static inline void start_engine(struct engines *e, int i)
{
	char id[8];
	ks_member_spec_t spec = { .service = ks_str_from(e->service),
				  .domain = KS_STR("d1"),
				  .address = { "127.0.0.1",
					       e->f.upstreams[i].server.port },
				  .process_start_ms = ++e->starts,
				  .accepting = true };

	g_snprintf(id, sizeof(id), "u%d", i);
	spec.id = ks_str_from(id);
	ks_fleet_put(ks_gateway_fleet(e->f.gateway), &spec);
}

static inline void init_engines(struct engines *e, const char *service,
				unsigned known_after)
{
	memset(e, 0, sizeof(*e));
	e->service = service;
	e->known_after = known_after;
	fixture_init_bare(&e->f);
	fixture_apply(&e->f, 1);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		start_engine(e, i);
}

/* Calls with the shared parts and one of its own. */
static inline void call(struct engines *e, struct fixture_caller *caller,
			const char *target, const char *shared)
{
	char *text = g_strdup_printf("%s,%x:500", shared, ++e->own_parts);
	ks_header_t parts = { KS_STR("x-parts"), ks_str_from(text) };

	fixture_call_with(&e->f, caller, "POST", target, "prompt", &parts, 1);
	g_free(text);
}

/* Lets the engine crash, after the head of its response, and start again. */
static inline void crash(struct engines *e, struct fixture_upstream *upstream)
{
	if (!e->without_head) {
		fixture_start_response(upstream, 200, false, -1);
		fixture_run_pending(&e->f);
	}
	fixture_abort_response(upstream);
	if (e->late_news)
		e->restarted[upstream - e->f.upstreams] = true;
	else
		start_engine(e, (int)(upstream - e->f.upstreams));
	if (++e->sent == e->known_after)
		e->known_us = ks_loop_now(&e->f.loop);
	else if (e->known_us &&
		 ks_loop_now(&e->f.loop) >
			 e->known_us + CONTACT_MS * KS_USEC_PER_MSEC)
		e->sent_after++;
}

/* Refuses a request that is meant for the process before. */
static inline bool refuse_restarted(struct engines *e,
				    struct fixture_upstream *upstream)
{
	int i = (int)(upstream - e->f.upstreams);

	if (!e->restarted[i])
		return false;
	e->restarted[i] = false;
	fixture_respond(upstream, 421, true, "");
	fixture_run_pending(&e->f);
	start_engine(e, i);
	return true;
}

/* Calls with the part, and lets each engine crash that the request reaches. */
static inline void call_crashing(struct engines *e,
				 struct fixture_caller *caller,
				 const char *target, const char *shared)
{
	call(e, caller, target, shared);
	while (!caller->done) {
		FIXTURE_WAIT(&e->f,
			     caller->done || fixture_pending_upstream(&e->f));
		if (fixture_pending_upstream(&e->f) &&
		    !refuse_restarted(e, fixture_pending_upstream(&e->f)))
			crash(e, fixture_pending_upstream(&e->f));
	}
}

static inline int call_sound(struct engines *e, const char *shared)
{
	struct fixture_caller caller;
	int status;

	call(e, &caller, "/advise/", shared);
	while (!caller.done) {
		FIXTURE_WAIT(&e->f,
			     caller.done || fixture_pending_upstream(&e->f));
		if (fixture_pending_upstream(&e->f) &&
		    !refuse_restarted(e, fixture_pending_upstream(&e->f)))
			fixture_respond(fixture_pending_upstream(&e->f), 200,
					false, "data: a\n\n");
	}
	status = caller.status;
	fixture_end_call(&caller);
	return status;
}

#endif
