/*
 * Runs a fuzz target as a regression test, without libFuzzer. Each round runs
 * all files of the corpus and a fixed number of seeded random mutations. The
 * test fails if the target crashes or if the amount of allocated memory differs
 * between the last two rounds.
 *
 * usage: fuzz-NAME [FILE...]
 *
 * The corpus is tests/fuzz/corpus/NAME in the current directory. With FILEs,
 * only these are run, once each.
 */
#include "fuzz.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SEED 42
#define ROUND_MUTATIONS 3000
/* Lazy initialization still allocates memory in the first round. */
#define WARM_UP_ROUNDS 1
#define MAX_CHANGES 4
#define MAX_INPUT_BYTES (64 * 1024)

/* Free chunks in the caches of malloc() and GLib count as allocated, so the
 * caches have to be disabled to compare the amount of allocated memory. */
#define TUNABLES "GLIBC_TUNABLES"
#define NO_THREAD_CACHE "glibc.malloc.tcache_count=0"
#define SLICES "G_SLICE"
#define NO_SLICES "always-malloc"

/**
 * struct driver - state of the program
 * @corpus: contents of the corpus files, as GString
 * @input: input being mutated
 */
struct driver {
	GPtrArray *corpus;
	ks_rng_t rng;
	GString *input;
};

static void run_one(const GString *input)
{
	/* A copy of the exact size lets AddressSanitizer detect reads past the
	 * end. */
	uint8_t *copy = g_malloc(MAX(input->len, 1));

	memcpy(copy, input->str, input->len);
	LLVMFuzzerTestOneInput(copy, input->len);
	g_free(copy);
}

static GString *read_file(const char *path)
{
	GError *error = NULL;
	GString *text;
	char *data;
	size_t len;

	if (!g_file_get_contents(path, &data, &len, &error))
		g_error("%s", error->message);
	text = g_string_new_len(data, (gssize)len);
	g_free(data);
	return text;
}

static void free_text(void *text)
{
	g_string_free(text, TRUE);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void load_corpus(struct driver *driver, const char *folder)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir)))
		g_ptr_array_add(names, g_build_filename(folder, name, NULL));
	if (dir)
		g_dir_close(dir);
	if (!names->len)
		g_error("no corpus files in %s", folder);
	g_ptr_array_sort(names, compare_names);
	for (unsigned i = 0; i < names->len; i++)
		g_ptr_array_add(driver->corpus,
				read_file(g_ptr_array_index(names, i)));
	g_ptr_array_unref(names);
}

static const GString *pick(struct driver *driver)
{
	return g_ptr_array_index(
		driver->corpus,
		ks_rng_below(&driver->rng, driver->corpus->len));
}

/* Returns a random substring, which is only empty if @text is empty. */
static ks_str_t pick_part(struct driver *driver, const GString *text)
{
	size_t start, len;

	if (!text->len)
		return (ks_str_t){ text->str, 0 };
	start = ks_rng_below(&driver->rng, (uint32_t)text->len);
	len = 1 + ks_rng_below(&driver->rng, (uint32_t)(text->len - start));
	return (ks_str_t){ text->str + start, len };
}

/* Returns the run of letters and digits around a random byte. */
static ks_str_t pick_token(struct driver *driver, const GString *text)
{
	ks_str_t part = pick_part(driver, text);
	const char *start = part.data, *end = part.data + MIN(part.len, 1);

	while (start > text->str && g_ascii_isalnum(start[-1]))
		start--;
	while (end < text->str + text->len && g_ascii_isalnum(*end))
		end++;
	return (ks_str_t){ start, (size_t)(end - start) };
}

static void flip_bit(struct driver *driver)
{
	GString *input = driver->input;

	if (input->len)
		input->str[ks_rng_below(&driver->rng, (uint32_t)input->len)] ^=
			(char)(1 << ks_rng_below(&driver->rng, 8));
}

static void truncate_input(struct driver *driver)
{
	g_string_truncate(
		driver->input,
		ks_rng_below(&driver->rng, (uint32_t)driver->input->len + 1));
}

static void splice(struct driver *driver)
{
	ks_str_t part = pick_part(driver, pick(driver));

	truncate_input(driver);
	g_string_append_len(driver->input, part.data, (gssize)part.len);
}

static void repeat_part(struct driver *driver)
{
	ks_str_t part = pick_part(driver, driver->input);
	unsigned times = 1U << ks_rng_below(&driver->rng, 10);
	size_t at = (size_t)(part.data - driver->input->str);
	GString *run = g_string_new(NULL);

	for (unsigned i = 0; i < times && run->len < MAX_INPUT_BYTES; i++)
		g_string_append_len(run, part.data, (gssize)part.len);
	g_string_insert_len(driver->input, (gssize)at, run->str,
			    (gssize)run->len);
	g_string_free(run, TRUE);
}

static void swap_token(struct driver *driver)
{
	ks_str_t from = pick_token(driver, driver->input);
	ks_str_t to = pick_token(driver, pick(driver));
	size_t at = (size_t)(from.data - driver->input->str);

	g_string_erase(driver->input, (gssize)at, (gssize)from.len);
	g_string_insert_len(driver->input, (gssize)at, to.data, (gssize)to.len);
}

static void mutate(struct driver *driver)
{
	static void (*const changes[])(struct driver * driver) = {
		flip_bit, truncate_input, splice, repeat_part, swap_token,
	};
	unsigned n = 1 + ks_rng_below(&driver->rng, MAX_CHANGES);
	const GString *base = pick(driver);

	g_string_truncate(driver->input, 0);
	g_string_append_len(driver->input, base->str, (gssize)base->len);
	while (n--)
		changes[ks_rng_below(&driver->rng, G_N_ELEMENTS(changes))](
			driver);
	g_string_truncate(driver->input,
			  MIN(driver->input->len, MAX_INPUT_BYTES));
}

static size_t memory_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Returns the amount of allocated memory after the round, in bytes. */
static size_t run_round(struct driver *driver)
{
	driver->input = g_string_new(NULL);
	for (unsigned i = 0; i < driver->corpus->len; i++)
		run_one(g_ptr_array_index(driver->corpus, i));
	for (unsigned i = 0; i < ROUND_MUTATIONS; i++) {
		mutate(driver);
		run_one(driver->input);
	}
	g_string_free(driver->input, TRUE);
	return memory_in_use();
}

static int run_rounds(struct driver *driver)
{
	size_t first, second;

	for (unsigned i = 0; i < WARM_UP_ROUNDS; i++)
		run_round(driver);
	first = run_round(driver);
	second = run_round(driver);
	printf("%u files, %d mutations per round; allocated: %zu, %zu bytes\n",
	       driver->corpus->len, ROUND_MUTATIONS, first, second);
	if (first == second)
		return 0;
	fprintf(stderr, "allocated memory changed by %td bytes in a round\n",
		(ptrdiff_t)(second - first));
	return 1;
}

/* The settings are only read at startup, so the program executes itself. */
static void disable_allocator_caches(char **argv)
{
	if (g_getenv(TUNABLES))
		return;
	g_setenv(TUNABLES, NO_THREAD_CACHE, TRUE);
	g_setenv(SLICES, NO_SLICES, TRUE);
	execv("/proc/self/exe", argv);
	g_error("cannot execute /proc/self/exe: %s", g_strerror(errno));
}

int main(int argc, char **argv)
{
	struct driver driver = { .corpus = g_ptr_array_new_with_free_func(
					 free_text) };
	char *name, *folder;
	int status = 0;

	disable_allocator_caches(argv);
	ks_rng_init(&driver.rng, SEED);
	name = g_path_get_basename(argv[0]);
	folder = g_build_filename("tests/fuzz/corpus", name + strlen("fuzz-"),
				  NULL);
	for (int i = 1; i < argc; i++) {
		GString *text = read_file(argv[i]);

		run_one(text);
		free_text(text);
	}
	if (argc == 1) {
		load_corpus(&driver, folder);
		status = run_rounds(&driver);
	}
	g_free(name);
	g_free(folder);
	g_ptr_array_unref(driver.corpus);
	ks_rng_deinit(&driver.rng);
	return status;
}
