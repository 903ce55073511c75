/* Binary heap of tickets that know their place, so that any can be removed. */
#ifndef KS_TICKET_HEAP_H
#define KS_TICKET_HEAP_H

#include "ks/request.h"

/**
 * struct ks_ticket_heap - heap with the least ticket first
 * @before: whether @a comes out before @b
 * @place: the member of a ticket that holds its place in this heap
 */
typedef struct ks_ticket_heap {
	GPtrArray *items;
	bool (*before)(const ks_ticket_t *a, const ks_ticket_t *b);
	unsigned *(*place)(ks_ticket_t *ticket);
} ks_ticket_heap_t;

void ks_ticket_heap_init(ks_ticket_heap_t *heap,
			 bool (*before)(const ks_ticket_t *a,
					const ks_ticket_t *b),
			 unsigned *(*place)(ks_ticket_t *ticket));
void ks_ticket_heap_deinit(ks_ticket_heap_t *heap);
void ks_ticket_heap_push(ks_ticket_heap_t *heap, ks_ticket_t *ticket);
void ks_ticket_heap_remove(ks_ticket_heap_t *heap, ks_ticket_t *ticket);
ks_ticket_t *ks_ticket_heap_first(const ks_ticket_heap_t *heap);

#endif
