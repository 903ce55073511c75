/*
 * Deterministic subsetting: the upstreams that an entry connects to, chosen by
 * rendezvous hashing.
 */
#include "ks/request.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/**
 * struct item - an upstream that may be chosen
 * @index: index in the list of upstreams
 * @domain: failure domain
 * @score: rendezvous hash of the entry and the upstream
 * @domain_score: rendezvous hash of the entry and the domain
 * @order_key: position in the order of choice, see set_order()
 */
struct item {
	size_t index;
	ks_str_t domain;
	uint64_t score;
	uint64_t domain_score;
	double order_key;
};

static uint64_t hash_str(ks_str_t text, uint64_t seed)
{
	return XXH64(text.len ? text.data : "", text.len, seed);
}

static int compare_str(ks_str_t a, ks_str_t b)
{
	int order =
		a.len && b.len ? memcmp(a.data, b.data, MIN(a.len, b.len)) : 0;

	return order ? order : (a.len > b.len) - (a.len < b.len);
}

static int compare_by_domain(const void *left, const void *right)
{
	const struct item *a = left, *b = right;
	int order = compare_str(a->domain, b->domain);

	if (order)
		return order;
	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return (a->index > b->index) - (a->index < b->index);
}

static int compare_order(const void *left, const void *right)
{
	const struct item *a = left, *b = right;

	if (a->order_key != b->order_key)
		return a->order_key < b->order_key ? -1 : 1;
	if (a->domain_score != b->domain_score)
		return a->domain_score > b->domain_score ? -1 : 1;
	return (a->index > b->index) - (a->index < b->index);
}

static int compare_index(const void *left, const void *right)
{
	size_t a = *(const size_t *)left, b = *(const size_t *)right;

	return (a > b) - (a < b);
}

/*
 * Sets the order in which upstreams are chosen; @items are sorted by domain and
 * score. The best upstream of each domain comes first, so that every domain is
 * represented. The rest follow in proportion to the size of their domain, so
 * that each upstream is used by about the same number of entries.
 */
static void set_order(struct item *items, size_t count)
{
	size_t start = 0;

	while (start < count) {
		size_t end = start + 1;

		while (end < count &&
		       ks_str_equal(items[end].domain, items[start].domain))
			end++;
		for (size_t i = start; i < end; i++)
			items[i].order_key =
				i == start ? -1.0
					   : ((double)(i - start) + 0.5) /
						     (double)(end - start);
		start = end;
	}
}

/**
 * ks_subset_choose() - choose the upstreams that an entry connects to
 * @entry: name of the entry
 * @upstreams: ids of the upstreams of one model or service, in any order
 * @domains: failure domain of each upstream
 * @count: number of upstreams
 * @wanted: number of upstreams to choose
 * @chosen: filled with their indices in ascending order; has room for @wanted
 *
 * The result depends only on the names. It is therefore the same after a
 * restart, and adding or removing an upstream changes few other choices. To be
 * called separately for each model or service, so that each is covered.
 *
 * Return: the number of upstreams chosen: @wanted or @count, whichever is less.
 */
size_t ks_subset_choose(ks_str_t entry, const ks_str_t *upstreams,
			const ks_str_t *domains, size_t count, size_t wanted,
			size_t *chosen)
{
	uint64_t seed = hash_str(entry, 0);
	struct item *items = g_new0(struct item, MAX(count, 1));

	wanted = MIN(wanted, count);
	for (size_t i = 0; i < count; i++) {
		items[i].index = i;
		items[i].domain = domains[i];
		items[i].score = hash_str(upstreams[i], seed);
		items[i].domain_score = hash_str(domains[i], seed);
	}
	qsort(items, count, sizeof(*items), compare_by_domain);
	set_order(items, count);
	qsort(items, count, sizeof(*items), compare_order);
	for (size_t i = 0; i < wanted; i++)
		chosen[i] = items[i].index;
	qsort(chosen, wanted, sizeof(*chosen), compare_index);
	g_free(items);
	return wanted;
}
