/* Binary heap of tickets. */
#include "ticket_heap.h"

static ks_ticket_t *item_at(const ks_ticket_heap_t *heap, unsigned place)
{
	return (ks_ticket_t *)g_ptr_array_index(heap->items, place);
}

static void put(ks_ticket_heap_t *heap, ks_ticket_t *ticket, unsigned place)
{
	g_ptr_array_index(heap->items, place) = ticket;
	*heap->place(ticket) = place;
}

static void sift_up(ks_ticket_heap_t *heap, ks_ticket_t *ticket, unsigned place)
{
	while (place > 0) {
		unsigned parent = (place - 1) / 2;

		if (!heap->before(ticket, item_at(heap, parent)))
			break;
		put(heap, item_at(heap, parent), place);
		place = parent;
	}
	put(heap, ticket, place);
}

static void sift_down(ks_ticket_heap_t *heap, ks_ticket_t *ticket,
		      unsigned place)
{
	unsigned count = heap->items->len;

	for (;;) {
		unsigned child = 2 * place + 1;

		if (child >= count)
			break;
		if (child + 1 < count && heap->before(item_at(heap, child + 1),
						      item_at(heap, child)))
			child++;
		if (!heap->before(item_at(heap, child), ticket))
			break;
		put(heap, item_at(heap, child), place);
		place = child;
	}
	put(heap, ticket, place);
}

/**
 * ks_ticket_heap_init() - set up an empty heap
 */
void ks_ticket_heap_init(ks_ticket_heap_t *heap,
			 bool (*before)(const ks_ticket_t *a,
					const ks_ticket_t *b),
			 unsigned *(*place)(ks_ticket_t *ticket))
{
	heap->items = g_ptr_array_new();
	heap->before = before;
	heap->place = place;
}

/**
 * ks_ticket_heap_deinit() - free the heap; the tickets belong to others
 */
void ks_ticket_heap_deinit(ks_ticket_heap_t *heap)
{
	g_ptr_array_free(heap->items, TRUE);
	heap->items = NULL;
}

/**
 * ks_ticket_heap_push() - add a ticket
 */
void ks_ticket_heap_push(ks_ticket_heap_t *heap, ks_ticket_t *ticket)
{
	g_ptr_array_add(heap->items, ticket);
	sift_up(heap, ticket, heap->items->len - 1);
}

/**
 * ks_ticket_heap_remove() - remove a ticket that is in the heap
 */
void ks_ticket_heap_remove(ks_ticket_heap_t *heap, ks_ticket_t *ticket)
{
	unsigned place = *heap->place(ticket);
	ks_ticket_t *last = item_at(heap, heap->items->len - 1);

	g_ptr_array_set_size(heap->items, (int)heap->items->len - 1);
	if (last == ticket)
		return;
	if (place > 0 && heap->before(last, item_at(heap, (place - 1) / 2)))
		sift_up(heap, last, place);
	else
		sift_down(heap, last, place);
}

/**
 * ks_ticket_heap_first() - the ticket that comes out first
 *
 * Return: the ticket, or NULL when the heap is empty.
 */
ks_ticket_t *ks_ticket_heap_first(const ks_ticket_heap_t *heap)
{
	return heap->items->len > 0 ? item_at(heap, 0) : NULL;
}
