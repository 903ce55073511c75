/* Property tests of the snapshot tracker. */
#include "ks/version.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace
{

/* Snapshots of versions 1 to N, where version N has N services. */
class Versions
{
      public:
	explicit Versions(int count)
	{
		ks_snapshot_t *last = ks_snapshot_new_empty();

		for (int i = 0; i < count; i++) {
			std::string yaml =
				"base: " + std::to_string(i) +
				"\nupstreams: {add: [{id: s" +
				std::to_string(i) + ", process: '127.0.0.1:" +
				std::to_string(1000 + i) +
				"', endpoint: '127.0.0.1:1', host: h, "
				"domain: d, service: s, limit: 1}]}\n";
			ks_release_t *release = ks_release_parse(
				{ yaml.data(), yaml.size() }, "n", nullptr);
			ks_snapshot_t *next =
				ks_release_apply(release, last, nullptr);

			ks_release_free(release);
			if (last->version)
				all_.push_back(last);
			else
				ks_snapshot_unref(last);
			last = next;
		}
		all_.push_back(last);
	}

	~Versions()
	{
		for (ks_snapshot_t *snapshot : all_)
			ks_snapshot_unref(snapshot);
	}

	Versions(const Versions &) = delete;
	Versions &operator=(const Versions &) = delete;

	const ks_snapshot_t *at(uint64_t version) const
	{
		return all_.at(version - 1);
	}

      private:
	std::vector<ks_snapshot_t *> all_;
};

enum Damage {
	INTACT,
	TRUNCATED,
	BIT_FLIPPED,
	BIT_FLIPPED_WITH_MATCHING_DIGEST,
	WRONG_DIGEST,
	WRONG_VERSION,
	SHORT_DIGEST,
	N_DAMAGES
};

struct Offer {
	uint64_t version;
	std::string digest;
	std::string body;
};

Offer make_offer(const Versions &versions, uint64_t version, int damage,
		 uint32_t position)
{
	const ks_snapshot_t *snapshot = versions.at(version);
	Offer offer = { version,
			std::string((const char *)snapshot->digest.bytes,
				    KS_DIGEST_SIZE),
			std::string(snapshot->body, snapshot->body_len) };
	ks_digest_t digest;

	switch (damage) {
	case TRUNCATED:
		offer.body.resize(position % offer.body.size());
		break;
	case BIT_FLIPPED:
	case BIT_FLIPPED_WITH_MATCHING_DIGEST:
		offer.body[position % offer.body.size()] ^= 1;
		break;
	case WRONG_DIGEST:
		offer.digest[position % KS_DIGEST_SIZE] ^= 1;
		break;
	case WRONG_VERSION:
		offer.version += 1 + position % 3;
		break;
	case SHORT_DIGEST:
		offer.digest.resize(position % KS_DIGEST_SIZE);
		break;
	default:
		break;
	}
	if (damage == BIT_FLIPPED_WITH_MATCHING_DIGEST) {
		ks_digest_compute(&digest,
				  { offer.body.data(), offer.body.size() });
		offer.digest.assign((const char *)digest.bytes, KS_DIGEST_SIZE);
	}
	return offer;
}

void check_intact(const ks_snapshot_tracker_t *tracker)
{
	ks_digest_t digest;

	if (!tracker->current)
		return;
	ks_digest_compute(&digest, { tracker->current->body,
				     tracker->current->body_len });
	RC_ASSERT(ks_digest_equal(&digest, &tracker->current->digest));
	RC_ASSERT(tracker->current->upstreams->len ==
		  tracker->current->version);
}

/*
 * Guards against a version that decreases, against applying a snapshot that is
 * damaged or does not match its digest, and against refusing a valid newer one.
 */
bool check_interleavings()
{
	static const int count = 8;
	static const Versions versions(count);

	return rc::check("only valid and newer snapshots come into force", [] {
		int n = *rc::gen::inRange(1, 40);
		ks_snapshot_tracker_t tracker;

		ks_snapshot_tracker_init(&tracker);
		for (int i = 0; i < n; i++) {
			uint64_t version =
				*rc::gen::inRange<uint64_t>(1, count + 1);
			int damage = *rc::gen::inRange(0, (int)N_DAMAGES);
			uint32_t position = *rc::gen::arbitrary<uint32_t>();
			uint64_t before = ks_snapshot_tracker_version(&tracker);
			Offer offer =
				make_offer(versions, version, damage, position);
			ks_snapshot_offer_result_t result =
				ks_snapshot_tracker_offer(
					&tracker, offer.version,
					{ offer.digest.data(),
					  offer.digest.size() },
					{ offer.body.data(),
					  offer.body.size() });
			uint64_t after = ks_snapshot_tracker_version(&tracker);

			RC_ASSERT(after >= before);
			RC_ASSERT((result == KS_SNAPSHOT_APPLIED) ==
				  (after > before));
			if (damage == INTACT)
				RC_ASSERT(after == std::max(before, version));
			else if (damage != BIT_FLIPPED_WITH_MATCHING_DIGEST)
				RC_ASSERT(after == before);
			if (damage != BIT_FLIPPED_WITH_MATCHING_DIGEST)
				check_intact(&tracker);
			RC_ASSERT(tracker.highest_seen >= after);
		}
		ks_snapshot_tracker_deinit(&tracker);
	});
}

/* Guards against losing the highest version that peers have announced. */
bool check_highest_seen()
{
	return rc::check(
		"highest_seen is the highest version announced",
		[](const std::vector<uint64_t> &announced) {
			uint64_t highest = 0;
			ks_snapshot_tracker_t tracker;

			ks_snapshot_tracker_init(&tracker);
			for (uint64_t version : announced) {
				highest = std::max(highest, version);
				RC_ASSERT(ks_snapshot_tracker_observe_version(
						  &tracker, version) ==
					  (version > 0));
				RC_ASSERT(tracker.highest_seen == highest);
			}
			ks_snapshot_tracker_deinit(&tracker);
		});
}

} // namespace

int main()
{
	return check_interleavings() && check_highest_seen() ? 0 : 1;
}
