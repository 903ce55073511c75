/* Ejection of failing upstreams, with exponential backoff and probes. */
#include "ks/request.h"

/*
 * Failures in a row before an upstream is ejected. One or two are common when
 * a link is replaced, and ejection would then cost more than it saves.
 */
#define FAILURES_BEFORE_EJECTION 3

#define BASE_US (1 * KS_USEC_PER_SEC)
#define MAX_US (60 * KS_USEC_PER_SEC)
#define MAX_DOUBLINGS 6
#define JITTER 0.25

/* A probe without a result for this long no longer keeps others away. */
#define PROBE_US (10 * KS_USEC_PER_SEC)

/**
 * ks_ejection_init() - set up a healthy upstream
 */
void ks_ejection_init(ks_ejection_t *ejection)
{
	ejection->failures = 0;
	ejection->until_us = INT64_MIN;
	ejection->probing = false;
}

/**
 * ks_ejection_success() - note an attempt that the upstream answered
 */
void ks_ejection_success(ks_ejection_t *ejection)
{
	ks_ejection_init(ejection);
}

/**
 * ks_ejection_failure() - note an attempt that failed at the upstream
 *
 * Truthful refusals (not started) are no failures.
 */
void ks_ejection_failure(ks_ejection_t *ejection, int64_t now_us, ks_rng_t *rng)
{
	unsigned doublings;
	int64_t delay;

	/* Attempts sent before the ejection count once. */
	if (!ejection->probing && ks_ejection_is_active(ejection, now_us))
		return;
	ejection->probing = false;
	if (ejection->failures < G_MAXUINT)
		ejection->failures++;
	if (ejection->failures < FAILURES_BEFORE_EJECTION)
		return;
	doublings = MIN(ejection->failures - FAILURES_BEFORE_EJECTION,
			MAX_DOUBLINGS);
	delay = MIN(BASE_US << doublings, MAX_US);
	ejection->until_us = now_us + ks_rng_jitter(rng, delay, JITTER);
}

/**
 * ks_ejection_is_active() - whether the upstream gets no requests now
 */
bool ks_ejection_is_active(const ks_ejection_t *ejection, int64_t now_us)
{
	return now_us < ejection->until_us;
}

/**
 * ks_ejection_dispatch() - note that an attempt is sent to the upstream
 *
 * The first attempt after an ejection is a probe: until its result, or for
 * 10 s, the upstream counts as out again, so that one request and not the whole
 * load tests it.
 */
void ks_ejection_dispatch(ks_ejection_t *ejection, int64_t now_us)
{
	if (ejection->failures < FAILURES_BEFORE_EJECTION ||
	    ks_ejection_is_active(ejection, now_us))
		return;
	ejection->probing = true;
	ejection->until_us = now_us + PROBE_US;
}

/**
 * ks_ejection_cap() - limit the ejections in a group to half of it
 * @group: health of each upstream that serves a model or service
 * @out: set for each one to whether it gets no requests
 *
 * When more than half would be out, the cause is rarely the upstreams, and the
 * rest could not carry the load. Those due earliest are then let in.
 *
 * Return: the number that is out, at most @count / 2.
 */
size_t ks_ejection_cap(const ks_ejection_t *const *group, size_t count,
		       int64_t now_us, bool *out)
{
	size_t n_out = 0;

	for (size_t i = 0; i < count; i++) {
		out[i] = ks_ejection_is_active(group[i], now_us);
		n_out += out[i];
	}
	while (n_out > count / 2) {
		size_t first = count;

		for (size_t i = 0; i < count; i++)
			if (out[i] &&
			    (first == count ||
			     group[i]->until_us < group[first]->until_us))
				first = i;
		out[first] = false;
		n_out--;
	}
	return n_out;
}
