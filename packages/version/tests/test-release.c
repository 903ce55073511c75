/* Tests of release notes, snapshots and differences between snapshots. */
#include "ks/version.h"

#include <string.h>

#define ENGINE                                                             \
	"{id: e1, process: '127.0.0.1:7001', endpoint: '127.0.0.1:8001', " \
	"host: h1, domain: a, model: m, limit: 32}"
#define SERVICE                                                            \
	"{id: s1, process: '127.0.0.1:7002', endpoint: '127.0.0.1:8002', " \
	"host: h2, domain: b, service: shop, limit: 8}"
#define FIRST                                           \
	"base: 0\n"                                     \
	"note: first\n"                                 \
	"models:\n"                                     \
	"  add:\n"                                      \
	"    - {name: m, version: v1, adapters: [x]}\n" \
	"upstreams:\n"                                  \
	"  add:\n"                                      \
	"    - " ENGINE "\n"                            \
	"    - " SERVICE "\n"

/* Return: the next snapshot, or NULL with @error. */
static ks_snapshot_t *apply(const ks_snapshot_t *base, const char *yaml,
			    GError **error)
{
	ks_release_t *release =
		ks_release_parse(ks_str_from(yaml), "note.yaml", error);
	ks_snapshot_t *next = NULL;

	if (release)
		next = ks_release_apply(release, base, error);
	ks_release_free(release);
	return next;
}

static ks_snapshot_t *first_snapshot(void)
{
	ks_snapshot_t *empty = ks_snapshot_new_empty();
	GError *error = NULL;
	ks_snapshot_t *first = apply(empty, FIRST, &error);

	g_assert_no_error(error);
	ks_snapshot_unref(empty);
	return first;
}

static void assert_refused(const ks_snapshot_t *base, const char *yaml,
			   const char *where, const char *what)
{
	GError *error = NULL;
	ks_snapshot_t *next = apply(base, yaml, &error);

	g_assert_null(next);
	g_assert_nonnull(error);
	if (!strstr(error->message, where) || !strstr(error->message, what))
		g_error("expected '%s' and '%s' in '%s'", where, what,
			error->message);
	g_error_free(error);
}

/* Guards against fields of a release note that are missing in the snapshot. */
static void test_release_applies_every_field(void)
{
	ks_snapshot_t *first = first_snapshot();
	const ks_upstream_t *engine =
		ks_snapshot_find_upstream(first, KS_STR("e1"));
	const ks_model_t *model = ks_snapshot_find_model(first, KS_STR("m"));

	g_assert_cmpuint(first->version, ==, 1);
	g_assert_cmpstr(engine->process, ==, "127.0.0.1:7001");
	g_assert_cmpstr(engine->endpoint, ==, "127.0.0.1:8001");
	g_assert_cmpstr(engine->host, ==, "h1");
	g_assert_cmpstr(engine->domain, ==, "a");
	g_assert_cmpstr(engine->model, ==, "m");
	g_assert_null(engine->service);
	g_assert_cmpuint(engine->limit, ==, 32);
	g_assert_cmpint(engine->role, ==, KS_ROLE_BOTH);
	g_assert_false(engine->checks_fencing);
	g_assert_false(engine->resumes);
	g_assert_cmpstr(model->version, ==, "v1");
	g_assert_cmpuint(model->adapters->len, ==, 1);
	ks_snapshot_unref(first);
}

/*
 * Guards against serialized snapshots that fail to parse or parse differently.
 */
static void test_snapshot_round_trip(void)
{
	ks_snapshot_t *first = first_snapshot();
	ks_str_t body = { first->body, first->body_len };
	GError *error = NULL;
	ks_snapshot_t *copy = ks_snapshot_parse(body, &error);

	g_assert_no_error(error);
	g_assert_cmpuint(copy->version, ==, 1);
	g_assert_true(ks_digest_equal(&copy->digest, &first->digest));
	g_assert_cmpstr(copy->body, ==, first->body);
	ks_snapshot_unref(copy);
	ks_snapshot_unref(first);
}

static void assert_parse_fails(const ks_snapshot_t *good, const char *from,
			       const char *to)
{
	GString *body = g_string_new_len(good->body, (gssize)good->body_len);
	ks_snapshot_t *snapshot;
	GError *error = NULL;

	g_assert_cmpuint(g_string_replace(body, from, to, 1), ==, 1);
	snapshot =
		ks_snapshot_parse((ks_str_t){ body->str, body->len }, &error);
	if (snapshot)
		g_error("accepted after replacing '%s' by '%s'", from, to);
	g_assert_cmpint(ks_error_kind(error), ==, KS_ERROR_BAD_REQUEST);
	g_error_free(error);
	g_string_free(body, TRUE);
}

/*
 * Guards against accepting a snapshot that is valid JSON with invalid contents.
 */
static void test_snapshot_parse_validates_fields(void)
{
	ks_snapshot_t *first = first_snapshot();

	assert_parse_fails(first, "\"format\":1", "\"format\":2");
	assert_parse_fails(first, "\"format\":1", "\"format\":1,\"x\":1");
	assert_parse_fails(first, "\"version\":1}", "\"version\":-1}");
	assert_parse_fails(first, "\"limit\":32", "\"limit\":0");
	assert_parse_fails(first, "\"limit\":32", "\"limit\":\"32\"");
	assert_parse_fails(first, "127.0.0.1:7001", "localhost:7001");
	assert_parse_fails(first, "127.0.0.1:7001", "127.0.0.1:7002");
	assert_parse_fails(first, "\"model\":\"m\"", "\"model\":\"n\"");
	assert_parse_fails(first, "\"id\":\"s1\"", "\"id\":\"e1\"");
	assert_parse_fails(first, "\"role\":\"both\"", "\"role\":\"all\"");
	assert_parse_fails(first, "\"resumes\":false", "\"resumes\":0");
	assert_parse_fails(first, "\"resumes\":false", "\"resume\":false");
	assert_parse_fails(first, ",\"service\":\"shop\"", "");
	assert_parse_fails(first, "{\"format\"", "{ \"format\"");
	assert_parse_fails(first, "\"version\":\"v1\"", "\"version\":\"v 1\"");
	assert_parse_fails(first, "[\"x\"]", "[1]");
	ks_snapshot_unref(first);
}

/*
 * Guards against digests that depend on the order of items in a release note.
 */
static void test_snapshot_is_canonical(void)
{
	ks_snapshot_t *empty = ks_snapshot_new_empty();
	ks_snapshot_t *first = first_snapshot();
	GError *error = NULL;
	ks_snapshot_t *other = apply(empty,
				     "upstreams:\n"
				     "  add:\n"
				     "    - " SERVICE "\n"
				     "    - " ENGINE "\n"
				     "base: 0\n"
				     "models: {add: [{adapters: [x], "
				     "version: v1, name: m}]}\n",
				     &error);

	g_assert_no_error(error);
	g_assert_true(ks_digest_equal(&first->digest, &other->digest));
	ks_snapshot_unref(other);
	ks_snapshot_unref(first);
	ks_snapshot_unref(empty);
}

/* Guards against changes that affect more or fewer fields than they list. */
static void test_release_changes_and_withdraws(void)
{
	ks_snapshot_t *first = first_snapshot();
	GError *error = NULL;
	ks_snapshot_t *second = apply(
		first,
		"base: 1\n"
		"models: {change: [{name: m, version: v2, adapters: "
		"{add: [y], remove: [x]}}]}\n"
		"upstreams: {change: [{id: e1, limit: 4, role: prefill}], "
		"withdraw: [s1]}\n",
		&error);
	char *difference;

	g_assert_no_error(error);
	difference = ks_snapshot_diff(first, second);
	g_assert_cmpstr(difference, ==,
			"~ model m: version v1 -> v2\n"
			"~ model m: -adapter x\n"
			"~ model m: +adapter y\n"
			"- upstream s1 at 127.0.0.1:7002\n"
			"~ upstream e1: role both -> prefill\n"
			"~ upstream e1: limit 32 -> 4\n");
	g_free(difference);
	ks_snapshot_unref(second);
	ks_snapshot_unref(first);
}

/* Guards against a release note that leaves a model unserved by mistake. */
static void test_release_refuses_unserved_models(void)
{
	ks_snapshot_t *first = first_snapshot();
	ks_snapshot_t *empty = ks_snapshot_new_empty();
	GError *error = NULL;
	ks_snapshot_t *second;

	assert_refused(first, "base: 1\nupstreams:\n  withdraw: [e1]\n",
		       "note.yaml:3:", "left without an upstream");
	assert_refused(first,
		       "base: 1\nupstreams:\n  change:\n"
		       "    - {id: e1, service: shop}\n",
		       "note.yaml:4:", "left without an upstream");
	assert_refused(empty,
		       "base: 0\nmodels:\n  add:\n"
		       "    - {name: m, version: v1}\n",
		       "note.yaml:4:", "left without an upstream");
	assert_refused(first, "base: 1\nmodels: {withdraw: [m]}\n",
		       "note.yaml:2:", "serves unknown model 'm'");
	second = apply(first,
		       "base: 1\nupstreams:\n  withdraw:\n"
		       "    - {id: e1, allow_unserved: true}\n",
		       &error);
	g_assert_no_error(error);
	g_assert_cmpuint(second->upstreams->len, ==, 1);
	ks_snapshot_unref(second);
	second = apply(first,
		       "base: 1\nmodels: {withdraw: [m]}\n"
		       "upstreams: {withdraw: [e1]}\n",
		       &error);
	g_assert_no_error(error);
	g_assert_cmpuint(second->models->len, ==, 0);
	ks_snapshot_unref(second);
	ks_snapshot_unref(empty);
	ks_snapshot_unref(first);
}

struct refusal {
	const char *yaml;
	const char *where;
	const char *what;
};

static const struct refusal refusals[] = {
	{ "", "note.yaml:1:", "empty" },
	{ "base: 1\n", "note.yaml:1:", "changes nothing" },
	{ "base: 1\nmodels: [\n", "note.yaml:", "invalid YAML" },
	{ "base: x\n", "note.yaml:1:", "expected an integer" },
	{ "base: -1\n", "note.yaml:1:", "expected an integer" },
	{ "base: 1\nbase: 1\n", "note.yaml:2:", "occurs twice" },
	{ "base: 1\nnote: ''\n",
	  "note.yaml:2:", "expected a non-empty string" },
	{ "base: 1\nservices: {}\n", "note.yaml:2:", "unknown key 'services'" },
	{ "base: 1\nmodels: {drop: []}\n",
	  "note.yaml:2:", "unknown key 'drop'" },
	{ "base: 1\nmodels: {add: m}\n", "note.yaml:2:", "expected a list" },
	{ "base: 1\nmodels: {add: [{version: v}]}\n",
	  "note.yaml:2:", "needs 'name'" },
	{ "base: 1\nmodels: {add: [{name: n}]}\n",
	  "note.yaml:2:", "needs 'version'" },
	{ "base: 1\nmodels: {add: [{name: m, version: v}]}\n",
	  "note.yaml:2:", "exists already" },
	{ "base: 1\nmodels: {change: [{name: n, version: v}]}\n",
	  "note.yaml:2:", "there is no model 'n'" },
	{ "base: 1\nmodels: {withdraw: [n]}\n",
	  "note.yaml:2:", "there is no model 'n'" },
	{ "base: 1\nmodels: {change: [{name: m, adapters: {remove: [q]}}]}\n",
	  "note.yaml:2:", "has no adapter 'q'" },
	{ "base: 1\nmodels: {change: [{name: m, adapters: {add: [x]}}]}\n",
	  "note.yaml:2:", "has adapter 'x' already" },
	{ "base: 1\nmodels: {change: [{name: m, adapters: [x]}]}\n",
	  "note.yaml:2:", "expected a mapping" },
	{ "base: 1\nmodels:\n  change:\n    - {name: m, version: a}\n"
	  "    - {name: m, version: b}\n",
	  "note.yaml:5:", "named twice, first in line 4" },
	{ "base: 1\nmodels: {change: [{name: m, version: 'a b'}]}\n",
	  "note.yaml:2:", "letters, digits" },
	{ "base: 1\nupstreams: {add: [{id: e2}]}\n",
	  "note.yaml:2:", "needs 'process'" },
	{ "base: 1\nupstreams: {add: [" ENGINE "]}\n",
	  "note.yaml:2:", "exists already" },
	{ "base: 1\nupstreams: {change: [{id: e9, limit: 1}]}\n",
	  "note.yaml:2:", "there is no upstream 'e9'" },
	{ "base: 1\nupstreams: {change: [{id: e1, limit: 0}]}\n",
	  "note.yaml:2:", "expected an integer from 1" },
	{ "base: 1\nupstreams: {change: [{id: e1, limit: [1]}]}\n",
	  "note.yaml:2:", "expected an integer" },
	{ "base: 1\nupstreams: {change: [{id: e1, resumes: yes}]}\n",
	  "note.yaml:2:", "expected true or false" },
	{ "base: 1\nupstreams: {change: [{id: e1, role: all}]}\n",
	  "note.yaml:2:", "expected both, prefill or decode" },
	{ "base: 1\nupstreams: {change: [{id: e1, speed: 1}]}\n",
	  "note.yaml:2:", "unknown key 'speed'" },
	{ "base: 1\nupstreams: {change: [{id: e1, model: n}]}\n",
	  "note.yaml:2:", "serves unknown model 'n'" },
	{ "base: 1\nupstreams: {change: [{id: e1, model: m, service: s}]}\n",
	  "note.yaml:2:", "either 'model' or 'service'" },
	{ "base: 1\nupstreams: {change: [{id: e1, process: 'host:1'}]}\n",
	  "note.yaml:2:", "expected IP:PORT" },
	{ "base: 1\nupstreams: {change: [{id: e1, process: '127.0.0.1:0'}]}\n",
	  "note.yaml:2:", "expected IP:PORT" },
	{ "base: 1\nupstreams:\n  change:\n"
	  "    - {id: e1, process: '127.0.0.1:7002'}\n",
	  "note.yaml:4:", "same process address" },
	{ "base: 2\nmodels: {withdraw: [n]}\n", "note.yaml", "builds on" },
};

/* Guards against accepting invalid notes, and against errors without a line. */
static void test_release_refuses_invalid_notes(void)
{
	ks_snapshot_t *first = first_snapshot();

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++)
		assert_refused(first, refusals[i].yaml, refusals[i].where,
			       refusals[i].what);
	ks_snapshot_unref(first);
}

/*
 * Guards against applying a release note for an old base to a newer version,
 * and against reporting this as an invalid note.
 */
static void test_release_reports_conflict(void)
{
	ks_snapshot_t *first = first_snapshot();
	GError *error = NULL;

	g_assert_null(apply(first, FIRST, &error));
	g_assert_cmpint(ks_error_kind(error), ==, KS_ERROR_CONFLICT);
	g_error_free(error);
	ks_snapshot_unref(first);
}

/* Guards against lookups that miss an upstream among thousands. */
static void test_snapshot_finds_upstreams_of_large_fleet(void)
{
	const unsigned n_upstreams = 2800;
	ks_snapshot_t *empty = ks_snapshot_new_empty();
	GString *yaml = g_string_new("base: 0\nupstreams:\n  add:\n");
	GError *error = NULL;
	ks_snapshot_t *fleet;
	char id[32];

	for (unsigned i = 0; i < n_upstreams; i++)
		g_string_append_printf(yaml,
				       "    - {id: u%u, process: "
				       "'10.0.0.1:%u', endpoint: '10.0.0.1:1', "
				       "host: h, domain: d, service: s, "
				       "limit: 1}\n",
				       i, i + 1);
	fleet = apply(empty, yaml->str, &error);
	g_assert_no_error(error);
	for (unsigned i = 0; i < n_upstreams; i++) {
		const ks_upstream_t *upstream;

		g_snprintf(id, sizeof(id), "u%u", i);
		upstream = ks_snapshot_find_upstream(fleet, ks_str_from(id));
		g_assert_nonnull(upstream);
		g_assert_cmpstr(upstream->id, ==, id);
	}
	g_assert_null(ks_snapshot_find_upstream(fleet, KS_STR("u")));
	g_assert_null(ks_snapshot_find_upstream(fleet, KS_STR("u2800")));
	g_assert_null(ks_snapshot_find_upstream(fleet, KS_STR("")));
	g_assert_null(ks_snapshot_find_upstream(fleet, KS_STR("v")));
	g_string_free(yaml, TRUE);
	ks_snapshot_unref(fleet);
	ks_snapshot_unref(empty);
}

/* Guards against deeply nested YAML, which libyaml parses for minutes. */
static void test_release_refuses_deep_nesting(void)
{
	ks_snapshot_t *empty = ks_snapshot_new_empty();
	GString *yaml = g_string_new("base: 0\nmodels: ");

	for (unsigned i = 0; i < 64 * 1024; i++)
		g_string_append_c(yaml, '[');
	assert_refused(empty, yaml->str, "note.yaml:2:", "nested too deeply");
	g_string_free(yaml, TRUE);
	ks_snapshot_unref(empty);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/release/applies-every-field",
			test_release_applies_every_field);
	g_test_add_func("/snapshot/round-trip", test_snapshot_round_trip);
	g_test_add_func("/snapshot/parse-validates-fields",
			test_snapshot_parse_validates_fields);
	g_test_add_func("/snapshot/is-canonical", test_snapshot_is_canonical);
	g_test_add_func("/snapshot/finds-upstreams-of-large-fleet",
			test_snapshot_finds_upstreams_of_large_fleet);
	g_test_add_func("/release/changes-and-withdraws",
			test_release_changes_and_withdraws);
	g_test_add_func("/release/refuses-unserved-models",
			test_release_refuses_unserved_models);
	g_test_add_func("/release/refuses-invalid-notes",
			test_release_refuses_invalid_notes);
	g_test_add_func("/release/refuses-deep-nesting",
			test_release_refuses_deep_nesting);
	g_test_add_func("/release/reports-conflict",
			test_release_reports_conflict);
	return g_test_run();
}
