/*
 * Binary heap of tickets. Each ticket stores its own index in the heap, so that
 * any ticket can be removed in O(log n).
 */
#ifndef KS_TICKET_HEAP_H
#define KS_TICKET_HEAP_H

#include "ks/request.h"

/**
 * struct ks_ticket_heap - heap with the smallest ticket first
 * @items: the tickets, not owned
 * @before: returns whether @a is ordered before @b
 * @index: returns the field of a ticket that stores its index in this heap
 */
typedef struct ks_ticket_heap {
	GPtrArray *items;
	bool (*before)(const ks_ticket_t *a, const ks_ticket_t *b);
	unsigned *(*index)(ks_ticket_t *ticket);
} ks_ticket_heap_t;

void ks_ticket_heap_init(ks_ticket_heap_t *heap,
			 bool (*before)(const ks_ticket_t *a,
					const ks_ticket_t *b),
			 unsigned *(*index)(ks_ticket_t *ticket));
void ks_ticket_heap_deinit(ks_ticket_heap_t *heap);
void ks_ticket_heap_push(ks_ticket_heap_t *heap, ks_ticket_t *ticket);
void ks_ticket_heap_remove(ks_ticket_heap_t *heap, ks_ticket_t *ticket);
ks_ticket_t *ks_ticket_heap_first(const ks_ticket_heap_t *heap);

#endif
