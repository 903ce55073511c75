/* Outlier ejection: failing upstreams get no requests for a time. */
#include "ks/request.h"

/*
 * Number of consecutive failures after which an upstream is ejected. One or two
 * are common when a connection is replaced; ejecting the upstream would then do
 * more harm than good.
 */
#define FAILURES_BEFORE_EJECTION 3

/* Exponential backoff of the ejection time, randomized by +/- JITTER. */
#define BASE_EJECTION_US (1 * KS_USEC_PER_SEC)
#define MAX_EJECTION_US (60 * KS_USEC_PER_SEC)
#define MAX_DOUBLINGS 6
#define JITTER 0.25

/* A probe without a result is given up after this time. */
#define PROBE_TIMEOUT_US (10 * KS_USEC_PER_SEC)

/**
 * ks_ejection_init() - initialize as healthy
 */
void ks_ejection_init(ks_ejection_t *ejection)
{
	ejection->failures = 0;
	ejection->until_us = INT64_MIN;
	ejection->probing = false;
}

/**
 * ks_ejection_success() - record an attempt that the upstream answered
 */
void ks_ejection_success(ks_ejection_t *ejection)
{
	ks_ejection_init(ejection);
}

/**
 * ks_ejection_failure() - record an attempt that failed at the upstream
 *
 * Not to be called if the upstream reported that the attempt was not started.
 */
void ks_ejection_failure(ks_ejection_t *ejection, int64_t now_us, ks_rng_t *rng)
{
	unsigned doublings;
	int64_t delay;

	/* Attempts sent before the ejection do not prolong it. */
	if (!ejection->probing && ks_ejection_is_active(ejection, now_us))
		return;
	ejection->probing = false;
	if (ejection->failures < G_MAXUINT)
		ejection->failures++;
	if (ejection->failures < FAILURES_BEFORE_EJECTION)
		return;
	doublings = MIN(ejection->failures - FAILURES_BEFORE_EJECTION,
			MAX_DOUBLINGS);
	delay = MIN(BASE_EJECTION_US << doublings, MAX_EJECTION_US);
	ejection->until_us = now_us + ks_rng_jitter(rng, delay, JITTER);
}

/**
 * ks_ejection_is_active() - whether the upstream is ejected now
 */
bool ks_ejection_is_active(const ks_ejection_t *ejection, int64_t now_us)
{
	return now_us < ejection->until_us;
}

/**
 * ks_ejection_is_failing() - whether the upstream has been ejected, and has
 * answered no attempt since
 */
bool ks_ejection_is_failing(const ks_ejection_t *ejection)
{
	return ejection->failures >= FAILURES_BEFORE_EJECTION;
}

/**
 * ks_ejection_dispatch() - record that an attempt is sent to the upstream
 *
 * The first attempt after an ejection is a probe. Until it ends, or for 10 s,
 * the upstream counts as ejected again, so that a single request tests it and
 * not the full load.
 */
void ks_ejection_dispatch(ks_ejection_t *ejection, int64_t now_us)
{
	if (!ks_ejection_is_failing(ejection) ||
	    ks_ejection_is_active(ejection, now_us))
		return;
	ejection->probing = true;
	ejection->until_us = now_us + PROBE_TIMEOUT_US;
}

/**
 * ks_ejection_cap() - limit the ejections in a group to half of it
 * @group: health of each upstream that serves a model or service
 * @count: number of upstreams
 * @ejected: set, for each upstream, to whether it is ejected
 *
 * If more than half were ejected, the cause would rarely be the upstreams, and
 * the rest could not carry the load. Those whose ejection ends first are then
 * used.
 *
 * Return: the number of ejected upstreams, at most @count / 2.
 */
size_t ks_ejection_cap(const ks_ejection_t *const *group, size_t count,
		       int64_t now_us, bool *ejected)
{
	size_t n_ejected = 0;

	for (size_t i = 0; i < count; i++) {
		ejected[i] = ks_ejection_is_active(group[i], now_us);
		n_ejected += ejected[i];
	}
	while (n_ejected > count / 2) {
		size_t first = count;

		for (size_t i = 0; i < count; i++)
			if (ejected[i] &&
			    (first == count ||
			     group[i]->until_us < group[first]->until_us))
				first = i;
		ejected[first] = false;
		n_ejected--;
	}
	return n_ejected;
}
