/* Binary heap of tickets; see ticket_heap.h. */
#include "ticket_heap.h"

static ks_ticket_t *item_at(const ks_ticket_heap_t *heap, unsigned index)
{
	return (ks_ticket_t *)g_ptr_array_index(heap->items, index);
}

static void set_item(ks_ticket_heap_t *heap, ks_ticket_t *ticket,
		     unsigned index)
{
	g_ptr_array_index(heap->items, index) = ticket;
	*heap->index(ticket) = index;
}

static void sift_up(ks_ticket_heap_t *heap, ks_ticket_t *ticket, unsigned index)
{
	while (index > 0) {
		unsigned parent = (index - 1) / 2;

		if (!heap->before(ticket, item_at(heap, parent)))
			break;
		set_item(heap, item_at(heap, parent), index);
		index = parent;
	}
	set_item(heap, ticket, index);
}

static void sift_down(ks_ticket_heap_t *heap, ks_ticket_t *ticket,
		      unsigned index)
{
	unsigned count = heap->items->len;

	for (;;) {
		unsigned child = 2 * index + 1;

		if (child >= count)
			break;
		if (child + 1 < count && heap->before(item_at(heap, child + 1),
						      item_at(heap, child)))
			child++;
		if (!heap->before(item_at(heap, child), ticket))
			break;
		set_item(heap, item_at(heap, child), index);
		index = child;
	}
	set_item(heap, ticket, index);
}

/**
 * ks_ticket_heap_init() - initialize an empty heap
 */
void ks_ticket_heap_init(ks_ticket_heap_t *heap,
			 bool (*before)(const ks_ticket_t *a,
					const ks_ticket_t *b),
			 unsigned *(*index)(ks_ticket_t *ticket))
{
	heap->items = g_ptr_array_new();
	heap->before = before;
	heap->index = index;
}

/**
 * ks_ticket_heap_deinit() - free the heap but not its tickets
 */
void ks_ticket_heap_deinit(ks_ticket_heap_t *heap)
{
	g_ptr_array_free(heap->items, TRUE);
	heap->items = NULL;
}

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
	unsigned index = *heap->index(ticket);
	ks_ticket_t *last = item_at(heap, heap->items->len - 1);

	g_ptr_array_set_size(heap->items, (int)heap->items->len - 1);
	if (last == ticket)
		return;
	if (index > 0 && heap->before(last, item_at(heap, (index - 1) / 2)))
		sift_up(heap, last, index);
	else
		sift_down(heap, last, index);
}

/**
 * ks_ticket_heap_first() - get the smallest ticket
 *
 * Return: the ticket, which stays in the heap, or NULL if the heap is empty.
 */
ks_ticket_t *ks_ticket_heap_first(const ks_ticket_heap_t *heap)
{
	return heap->items->len > 0 ? item_at(heap, 0) : NULL;
}
