/* Properties of release notes: any note, well formed or not. */
#include "ks/version.h"

#include <rapidcheck.h>

#include <string>

namespace
{

std::string name(const char *prefix)
{
	return prefix + std::to_string(*rc::gen::inRange(0, 4));
}

std::string model_item(int action)
{
	if (action == 2)
		return "{name: " + name("m") + ", allow_unserved: true}";
	std::string adapters = action == 0 ? "[" + name("x") + "]"
					   : "{add: [" + name("x") + "]}";

	return "{name: " + name("m") + ", version: " + name("v") +
	       ", allow_unserved: true, adapters: " + adapters + "}";
}

std::string upstream_item(int action)
{
	if (action == 2)
		return "{id: " + name("u") + ", allow_unserved: true}";
	std::string item = "{id: " + name("u") + ", process: '127.0.0.1:" +
			   std::to_string(*rc::gen::inRange(1, 6)) +
			   "', endpoint: '127.0.0.1:1', host: h, domain: d, "
			   "limit: " +
			   std::to_string(*rc::gen::element(0, 1, 2, 3, 4, 5)) +
			   ", ";

	return item +
	       (*rc::gen::inRange(0, 4) == 0 ? "model: " + name("m")
					     : "service: s") +
	       "}";
}

std::string items(std::string (*item)(int), const char *what)
{
	static const char *const actions[] = { "add", "change", "withdraw" };
	int chosen = *rc::gen::inRange(0, 4);
	std::string text = std::string(what) + ":\n";

	for (int action = 0; action < 3; action++) {
		/* Mostly short, as one wrong item refuses the whole note. */
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
	       items(model_item, "models") + items(upstream_item, "upstreams");
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
 * Guards against a note that is accepted but leads to a snapshot that the
 * processes refuse, and against a base that a note changes.
 */
bool check_accepted_notes()
{
	return rc::check("an accepted note leads to a valid snapshot", [] {
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

/* Guards against a reader that crashes, or that refuses without a reason. */
bool check_damaged_notes()
{
	return rc::check("a damaged note is read or refused", [] {
		ks_snapshot_t *empty = ks_snapshot_new_empty();
		std::string yaml = random_note(0);
		int n = *rc::gen::inRange(1, 6);

		for (int i = 0; i < n; i++) {
			size_t at = *rc::gen::inRange<size_t>(0, yaml.size());

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
