/* Property tests of release notes with random and with damaged contents. */
#include "ks/version.h"

#include <rapidcheck.h>

#include <string>

namespace
{

std::string random_name(const char *prefix)
{
	return prefix + std::to_string(*rc::gen::inRange(0, 4));
}

std::string random_model_change(int action)
{
	if (action == 2)
		return "{name: " + random_name("m") + ", allow_unserved: true}";
	std::string adapters = action == 0
				       ? "[" + random_name("x") + "]"
				       : "{add: [" + random_name("x") + "]}";

	return "{name: " + random_name("m") + ", version: " + random_name("v") +
	       ", allow_unserved: true, adapters: " + adapters + "}";
}

std::string random_upstream_change(int action)
{
	if (action == 2)
		return "{id: " + random_name("u") + ", allow_unserved: true}";
	std::string item =
		"{id: " + random_name("u") + ", process: '127.0.0.1:" +
		std::to_string(*rc::gen::inRange(1, 6)) +
		"', endpoint: '127.0.0.1:1', host: h, domain: d, "
		"limit: " +
		std::to_string(*rc::gen::element(0, 1, 2, 3, 4, 5)) + ", ";

	return item +
	       (*rc::gen::inRange(0, 4) == 0 ? "model: " + random_name("m")
					     : "service: s") +
	       "}";
}

std::string change_list(std::string (*item)(int), const char *what)
{
	static const char *const actions[] = { "add", "change", "withdraw" };
	int chosen = *rc::gen::inRange(0, 4);
	std::string text = std::string(what) + ":\n";

	for (int action = 0; action < 3; action++) {
		/* Few items, as one invalid item makes the note invalid. */
		int n = action == chosen ? *rc::gen::inRange(1, 3) : 0;

		text += std::string("  ") + actions[action] + ": [";
		for (int i = 0; i < n; i++)
			text += (i ? ", " : "") + item(action);
		text += "]\n";
	}
	return text;
}

std::string random_note(uint64_t base)
{
	return "base: " + std::to_string(base) + "\n" +
	       change_list(random_model_change, "models") +
	       change_list(random_upstream_change, "upstreams");
}

ks_snapshot_t *apply_note(const ks_snapshot_t *base, const std::string &yaml)
{
	GError *error = nullptr;
	ks_release_t *release = ks_release_parse({ yaml.data(), yaml.size() },
						 "n.yaml", &error);
	ks_snapshot_t *next =
		release ? ks_release_apply(release, base, &error) : nullptr;

	RC_ASSERT((next == nullptr) == (error != nullptr));
	if (error)
		RC_ASSERT(std::string(error->message).find("n.yaml") == 0);
	g_clear_error(&error);
	ks_release_free(release);
	return next;
}

/*
 * Guards against accepting a release note whose snapshot then fails to parse in
 * the processes that receive it, and against modifying the base snapshot.
 */
bool check_accepted_notes()
{
	return rc::check("an accepted release note gives a valid snapshot", [] {
		ks_snapshot_t *current = ks_snapshot_new_empty();
		unsigned n_accepted = 0;

		for (int i = 0; i < 25; i++) {
			std::string before(current->body, current->body_len);
			ks_snapshot_t *next = apply_note(
				current, random_note(current->version));

			RC_ASSERT(before == std::string(current->body,
							current->body_len));
			if (!next)
				continue;
			ks_snapshot_t *copy = ks_snapshot_parse(
				{ next->body, next->body_len }, nullptr);

			RC_ASSERT(copy != nullptr);
			RC_ASSERT(next->version == current->version + 1);
			RC_ASSERT(
				ks_digest_equal(&copy->digest, &next->digest));
			ks_snapshot_unref(copy);
			ks_snapshot_unref(current);
			current = next;
			n_accepted++;
		}
		RC_TAG(n_accepted > 2 ? "3 or more accepted"
		       : n_accepted   ? "1 or 2 accepted"
				      : "none accepted");
		ks_snapshot_unref(current);
	});
}

/*
 * Guards against crashes of the parser, and against failures without an error.
 */
bool check_damaged_notes()
{
	return rc::check(
		"a damaged release note is parsed or refused with an error",
		[] {
			ks_snapshot_t *empty = ks_snapshot_new_empty();
			std::string yaml = random_note(0);
			int n = *rc::gen::inRange(1, 6);

			for (int i = 0; i < n; i++) {
				size_t at = *rc::gen::inRange<size_t>(
					0, yaml.size());

				yaml[at] = *rc::gen::arbitrary<char>();
			}
			yaml.resize(*rc::gen::inRange<size_t>(yaml.size() / 2,
							      yaml.size() + 1));
			ks_snapshot_unref(apply_note(empty, yaml));
			ks_snapshot_unref(empty);
		});
}

} // namespace

int main()
{
	return check_accepted_notes() && check_damaged_notes() ? 0 : 1;
}
