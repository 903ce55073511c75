/* Command-line options of the load generator. */
#include "load.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAM "bench-load"
#define EXIT_USAGE 2

#define MAX_DURATION_S 86400
#define MAX_RATE 20000
#define MAX_TOKENS 1000000
#define DEFAULT_TIMEOUT_MS 30000
#define DEFAULT_MAX_IN_FLIGHT 4000

struct args {
	struct arg_str *entry, *prompt, *output_tokens, *phase;
	struct arg_str *key, *model, *lookup, *charge, *output, *policy;
	struct arg_file *log_keys;
	struct arg_int *seed, *timeout, *in_flight;
	struct arg_dbl *duration, *rates[LOAD_N_CLASSES];
	struct arg_lit *help;
	struct arg_end *end;
};

static bool parse_range(const char *text, unsigned *min, unsigned *max)
{
	const char *colon = strchr(text, ':');
	int64_t low, high;

	if (!colon ||
	    !ks_str_parse_int((ks_str_t){ text, (size_t)(colon - text) }, 1,
			      MAX_TOKENS, &low) ||
	    !ks_str_parse_int(ks_str_from(colon + 1), low, MAX_TOKENS, &high))
		return false;
	*min = (unsigned)low;
	*max = (unsigned)high;
	return true;
}

static bool parse_entries(load_options_t *options, const struct args *args)
{
	for (int i = 0; i < args->entry->count; i++) {
		GError *error = NULL;

		if (!ks_address_parse(&options->entries[i],
				      ks_str_from(args->entry->sval[i]),
				      &error)) {
			fprintf(stderr, PROGRAM ": %s\n", error->message);
			g_error_free(error);
			return false;
		}
		options->n_entries++;
	}
	return true;
}

/* Parses SECONDS:RATE:PROMPT_MIN:PROMPT_MAX:OUTPUT_MIN:OUTPUT_MAX. */
static bool parse_phase(const char *text, load_phase_t *phase)
{
	return sscanf(text, "%lf:%lf:%u:%u:%u:%u", &phase->duration_s,
		      &phase->rate, &phase->prompt_min, &phase->prompt_max,
		      &phase->output_min, &phase->output_max) == 6 &&
	       phase->duration_s > 0 && phase->duration_s <= MAX_DURATION_S &&
	       phase->rate > 0 && phase->rate <= MAX_RATE &&
	       phase->prompt_min > 0 &&
	       phase->prompt_min <= phase->prompt_max &&
	       phase->prompt_max <= MAX_TOKENS && phase->output_min > 0 &&
	       phase->output_min <= phase->output_max &&
	       phase->output_max <= MAX_TOKENS;
}

static bool parse_phases(load_options_t *options, const struct args *args)
{
	for (int i = 0; i < args->phase->count; i++) {
		load_phase_t *phase = &options->phases[options->n_phases];

		if (!parse_phase(args->phase->sval[i], phase)) {
			fprintf(stderr, PROGRAM ": a phase is SECONDS:RATE:"
						"PROMPT_MIN:PROMPT_MAX:"
						"OUTPUT_MIN:OUTPUT_MAX\n");
			return false;
		}
		if (options->n_phases++ == 0)
			options->duration_s = 0;
		options->duration_s += phase->duration_s;
		/* Enables completions; the phases determine the actual rate. */
		options->rates[LOAD_COMPLETION] = phase->rate;
	}
	return true;
}

static bool parse_limits(load_options_t *options, const struct args *args)
{
	if (!parse_range(args->prompt->sval[0], &options->prompt_min,
			 &options->prompt_max) ||
	    !parse_range(args->output_tokens->sval[0], &options->output_min,
			 &options->output_max)) {
		fprintf(stderr, PROGRAM ": a range of tokens is MIN:MAX with "
					"1 <= MIN <= MAX\n");
		return false;
	}
	options->duration_s = args->duration->dval[0];
	if (!(options->duration_s > 0) || options->duration_s > MAX_DURATION_S)
		goto bad;
	for (int i = 0; i < LOAD_N_CLASSES; i++) {
		options->rates[i] = args->rates[i]->dval[0];
		if (!(options->rates[i] >= 0) || options->rates[i] > MAX_RATE)
			goto bad;
	}
	if (args->timeout->ival[0] > 0 && args->in_flight->ival[0] > 0)
		return true;
bad:
	fprintf(stderr,
		PROGRAM ": a duration, rate or limit is out of range\n");
	return false;
}

/**
 * load_policy_name() - name of a policy on the command line
 */
const char *load_policy_name(load_policy_t policy)
{
	static const char *const names[LOAD_N_POLICIES] = {
		"random", "round-robin", "least-connections", "prefix"
	};

	return names[policy];
}

static bool parse_policy(load_options_t *options, const char *name)
{
	for (int i = 0; i < LOAD_N_POLICIES; i++)
		if (!strcmp(name, load_policy_name((load_policy_t)i))) {
			options->policy = (load_policy_t)i;
			return true;
		}
	fprintf(stderr, PROGRAM ": unknown policy '%s'\n", name);
	return false;
}

static bool parse_options(load_options_t *options, const struct args *args)
{
	const char *output = args->output->sval[0];

	memset(options, 0, sizeof(*options));
	if (!parse_entries(options, args) || !parse_limits(options, args) ||
	    !parse_phases(options, args) ||
	    !parse_policy(options, args->policy->sval[0]))
		return false;
	if (args->log_keys->count) {
		options->key_log = fopen(args->log_keys->filename[0], "w");
		if (!options->key_log) {
			perror(PROGRAM);
			return false;
		}
	}
	if (strcmp(output, "json") != 0 && strcmp(output, "text") != 0) {
		fprintf(stderr, PROGRAM ": the output is text or json\n");
		return false;
	}
	options->json = !strcmp(output, "json");
	options->seed = (uint32_t)args->seed->ival[0];
	options->timeout_ms = (unsigned)args->timeout->ival[0];
	options->max_in_flight = (unsigned)args->in_flight->ival[0];
	options->api_key = g_strdup(args->key->sval[0]);
	options->model = g_strdup(args->model->sval[0]);
	options->lookup_path = g_strdup(args->lookup->sval[0]);
	options->charge_path = g_strdup(args->charge->sval[0]);
	return true;
}

static void set_defaults(struct args *args)
{
	args->seed->ival[0] = 1;
	args->duration->dval[0] = 10;
	args->timeout->ival[0] = DEFAULT_TIMEOUT_MS;
	args->in_flight->ival[0] = DEFAULT_MAX_IN_FLIGHT;
	for (int i = 0; i < LOAD_N_CLASSES; i++)
		args->rates[i]->dval[0] = 0;
	args->prompt->sval[0] = "100:4000";
	args->output_tokens->sval[0] = "10:200";
	args->key->sval[0] = "";
	args->model->sval[0] = "";
	args->lookup->sval[0] = "/basket/size";
	args->charge->sval[0] = "/checkout/charge";
	args->output->sval[0] = "text";
	args->policy->sval[0] = load_policy_name(LOAD_RANDOM);
}

static void create_args(struct args *args)
{
	args->entry = arg_strn(NULL, "entry", "IP:PORT", 1, LOAD_MAX_ENTRIES,
			       "address to send requests to; may be repeated");
	args->seed = arg_int0(NULL, "seed", "N", "seed of the random numbers");
	args->duration =
		arg_dbl0(NULL, "duration-s", "N", "duration of the run");
	args->rates[LOAD_COMPLETION] = arg_dbl0(NULL, "completions-per-s", "N",
						"rate of streamed completions");
	args->rates[LOAD_LOOKUP] = arg_dbl0(NULL, "lookups-per-s", "N",
					    "rate of idempotent GET requests");
	args->rates[LOAD_CHARGE] = arg_dbl0(NULL, "charges-per-s", "N",
					    "rate of POST requests with an "
					    "idempotency key");
	args->prompt = arg_str0(NULL, "prompt-tokens", "MIN:MAX",
				"tokens of a prompt");
	args->output_tokens = arg_str0(NULL, "output-tokens", "MIN:MAX",
				       "maximum tokens of an answer");
	args->phase = arg_strn(NULL, "phase", "S:RATE:MIN:MAX:MIN:MAX", 0,
			       LOAD_MAX_PHASES,
			       "seconds, rate, prompt and output tokens of "
			       "a phase of the run; may be repeated");
	args->key = arg_str0(NULL, "api-key", "KEY", "API key");
	args->model =
		arg_str0(NULL, "model", "NAME", "model of the completions");
	args->lookup = arg_str0(NULL, "lookup-path", "PATH",
				"request path of lookups");
	args->charge = arg_str0(NULL, "charge-path", "PATH",
				"request path of charges");
	args->timeout =
		arg_int0(NULL, "timeout-ms", "N", "deadline of a request");
	args->in_flight = arg_int0(NULL, "max-in-flight", "N",
				   "limit of requests in flight");
	args->output = arg_str0(NULL, "output", "text|json", "report format");
	args->policy = arg_str0(NULL, "policy", "NAME",
				"choice of the address: random, round-robin, "
				"least-connections or prefix");
	args->log_keys = arg_file0(NULL, "log-keys", "FILE",
				   "write the key and verdict of each charge "
				   "to this file");
	args->help = arg_lit0("h", "help", "print this help");
	args->end = arg_end(10);
}

/**
 * load_options_parse() - parse the command line
 * @status: set to the exit status if the program is to exit
 *
 * Return: false if the program is to exit, after help or an error message.
 * The options are then not to be passed to load_options_deinit().
 */
bool load_options_parse(load_options_t *options, int argc, char **argv,
			int *status)
{
	struct args args;
	bool ok = false;
	int n_errors;

	create_args(&args);
	void *table[] = { args.entry,	 args.seed,
			  args.duration, args.rates[0],
			  args.rates[1], args.rates[2],
			  args.prompt,	 args.output_tokens,
			  args.key,	 args.model,
			  args.lookup,	 args.charge,
			  args.timeout,	 args.in_flight,
			  args.output,	 args.policy,
			  args.log_keys, args.phase,
			  args.help,	 args.end };
	set_defaults(&args);
	n_errors = arg_parse(argc, argv, table);
	*status = EXIT_USAGE;
	if (args.help->count) {
		printf("Usage: " PROGRAM);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		*status = EXIT_SUCCESS;
	} else if (n_errors) {
		arg_print_errors(stderr, args.end, PROGRAM);
	} else {
		ok = parse_options(options, &args);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ok;
}

/**
 * load_options_deinit() - free the options and close the key log
 */
void load_options_deinit(load_options_t *options)
{
	g_free(options->api_key);
	g_free(options->model);
	g_free(options->lookup_path);
	g_free(options->charge_path);
	if (options->key_log)
		fclose(options->key_log);
}
