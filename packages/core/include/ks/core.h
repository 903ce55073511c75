/*
 * core: error kinds, strings, identifiers, clocks, random numbers and lists,
 * used by all other packages.
 */
#ifndef KS_CORE_H
#define KS_CORE_H

#include <glib.h>
#include <stdbool.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* str.c */

/**
 * struct ks_str - length-counted string that does not own its bytes
 * @data: first byte; not terminated; may be NULL when @len is 0
 * @len: length in bytes
 */
typedef struct ks_str {
	const char *data;
	size_t len;
} ks_str_t;

/* View of a string literal. */
#define KS_STR(literal) ((ks_str_t){ (literal), sizeof(literal) - 1 })

ks_str_t ks_str_from(const char *text);
bool ks_str_equal(ks_str_t a, ks_str_t b);
bool ks_str_equal_nocase(ks_str_t a, ks_str_t b);
bool ks_str_has_prefix(ks_str_t s, ks_str_t prefix);
bool ks_str_parse_int(ks_str_t s, int64_t min, int64_t max, int64_t *value);
bool ks_str_parse_decimal(ks_str_t s, double *value);
char *ks_str_dup(ks_str_t s);

/* error.c */

/**
 * enum ks_error_kind - why a request or an operation failed
 *
 * ks_error_answer() gives the HTTP response for each kind.
 */
typedef enum ks_error_kind {
	KS_ERROR_NONE,
	KS_ERROR_BAD_REQUEST,
	KS_ERROR_UNAUTHORIZED,
	KS_ERROR_UNKNOWN_ROUTE,
	KS_ERROR_UNKNOWN_MODEL,
	KS_ERROR_IN_PROGRESS,
	KS_ERROR_KEY_EXPIRED,
	KS_ERROR_TOO_LARGE,
	KS_ERROR_KEY_MISMATCH,
	KS_ERROR_RATE_LIMITED,
	KS_ERROR_OVERLOADED,
	KS_ERROR_NO_UPSTREAM,
	KS_ERROR_NOT_READY,
	KS_ERROR_STORE_UNAVAILABLE,
	KS_ERROR_DEADLINE_NOT_RUN,
	KS_ERROR_DEADLINE_EXCEEDED,
	KS_ERROR_OUTCOME_UNKNOWN,
	KS_ERROR_UPSTREAM_FAILED,
	KS_ERROR_ANSWER_TOO_LARGE,
	KS_ERROR_SLOW_READER,
	KS_ERROR_CONFLICT,
	KS_ERROR_INTERNAL,
	KS_ERROR_N_KINDS
} ks_error_kind_t;

/**
 * struct ks_error_answer - HTTP response for an error kind
 * @status: HTTP status
 * @code: identifier of the kind in the body; never changes
 * @not_run: true if the request was not executed and never will be
 * @retry_after: true if the response has a Retry-After header
 */
typedef struct ks_error_answer {
	int status;
	const char *code;
	bool not_run;
	bool retry_after;
} ks_error_answer_t;

#define KS_ERROR ks_error_quark()

GQuark ks_error_quark(void);
const ks_error_answer_t *ks_error_answer(ks_error_kind_t kind);
ks_error_kind_t ks_error_kind_from_code(const char *code);
void ks_error_set(GError **error, ks_error_kind_t kind, const char *format, ...)
	G_GNUC_PRINTF(3, 4);
ks_error_kind_t ks_error_kind(const GError *error);

/* clock.c */

#define KS_USEC_PER_MSEC INT64_C(1000)
#define KS_USEC_PER_SEC INT64_C(1000000)

/**
 * struct ks_clock - clock with a resolution of one microsecond
 * @now_us: returns the current time in microseconds
 * @ctx: passed to @now_us
 */
typedef struct ks_clock {
	int64_t (*now_us)(void *ctx);
	void *ctx;
} ks_clock_t;

/**
 * struct ks_test_clock - clock that only moves when a test advances it
 * @clock: clock to pass to the code under test
 * @time_us: its current time
 */
typedef struct ks_test_clock {
	ks_clock_t clock;
	int64_t time_us;
} ks_test_clock_t;

int64_t ks_clock_now(const ks_clock_t *clock);
const ks_clock_t *ks_clock_monotonic(void);
const ks_clock_t *ks_clock_boottime(void);
const ks_clock_t *ks_clock_wall(void);
void ks_test_clock_init(ks_test_clock_t *test, int64_t start_us);
void ks_test_clock_advance(ks_test_clock_t *test, int64_t delta_us);

/* rng.c */

/**
 * struct ks_rng - seeded random number generator
 */
typedef struct ks_rng {
	GRand *rand;
} ks_rng_t;

void ks_rng_init(ks_rng_t *rng, uint32_t seed);
void ks_rng_init_random(ks_rng_t *rng);
void ks_rng_deinit(ks_rng_t *rng);
uint32_t ks_rng_below(ks_rng_t *rng, uint32_t limit);
double ks_rng_unit(ks_rng_t *rng);
int64_t ks_rng_jitter(ks_rng_t *rng, int64_t base, double fraction);

/* id.c */

#define KS_ID_SIZE 16
#define KS_ID_HEX_SIZE (2 * KS_ID_SIZE + 1)

/**
 * struct ks_id - 128-bit identifier of a request or of a process incarnation
 */
typedef struct ks_id {
	uint8_t bytes[KS_ID_SIZE];
} ks_id_t;

bool ks_id_generate(ks_id_t *id);
void ks_id_generate_seeded(ks_id_t *id, ks_rng_t *rng);
bool ks_id_equal(const ks_id_t *a, const ks_id_t *b);
bool ks_id_is_zero(const ks_id_t *id);
bool ks_id_from_bytes(ks_id_t *id, const void *data, size_t len);
bool ks_id_parse(ks_id_t *id, ks_str_t hex);
const char *ks_id_format(const ks_id_t *id, char buf[KS_ID_HEX_SIZE]);
unsigned ks_id_hash(const void *id);
int ks_id_hash_equal(const void *a, const void *b);

/* backoff.c */

/**
 * struct ks_backoff - exponential backoff with full jitter
 * @base_us: upper bound of the first delay; doubled after each failure
 * @max_us: limit of that upper bound
 * @failures: failures since the last success
 */
typedef struct ks_backoff {
	int64_t base_us;
	int64_t max_us;
	unsigned failures;
} ks_backoff_t;

void ks_backoff_init(ks_backoff_t *backoff, int64_t base_us, int64_t max_us);
int64_t ks_backoff_next(ks_backoff_t *backoff, ks_rng_t *rng);
void ks_backoff_reset(ks_backoff_t *backoff);

/* Intrusive, circular, doubly linked list; the head is not an element. */

/**
 * struct ks_list - node or head of a list
 */
typedef struct ks_list {
	struct ks_list *next;
	struct ks_list *prev;
} ks_list_t;

static inline void ks_list_init(ks_list_t *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool ks_list_is_empty(const ks_list_t *head)
{
	return head->next == head;
}

static inline void ks_list_append(ks_list_t *head, ks_list_t *node)
{
	node->prev = head->prev;
	node->next = head;
	head->prev->next = node;
	head->prev = node;
}

/* Leaves @node as an empty list, so that removing it twice is harmless. */
static inline void ks_list_remove(ks_list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	node->next = node;
	node->prev = node;
}

#define KS_CONTAINER_OF(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

#define KS_LIST_FOREACH(it, head) \
	for (ks_list_t *it = (head)->next; it != (head); it = it->next)

#define KS_LIST_FOREACH_SAFE(it, tmp, head)                               \
	for (ks_list_t *it = (head)->next, *tmp = it->next; it != (head); \
	     it = tmp, tmp = it->next)

G_END_DECLS

#endif
