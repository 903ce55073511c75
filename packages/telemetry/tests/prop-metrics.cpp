/* Property test of histogram quantiles. */
#include "ks/telemetry.h"

#include <algorithm>
#include <rapidcheck.h>

/* Guards against buckets that overlap, leave gaps or are too wide. */
static bool check_quantiles()
{
	return rc::check("a quantile is within 1/16 of the exact value", [] {
		const auto values = *rc::gen::nonEmpty(
			rc::gen::container<std::vector<int64_t>>(
				rc::gen::inRange<int64_t>(0, 1000000000)));
		const auto percent = *rc::gen::inRange(1, 101);
		ks_metrics_t *metrics = ks_metrics_new();
		ks_histogram_t *histogram =
			ks_metrics_histogram(metrics, "h", "h", nullptr);
		std::vector<int64_t> sorted(values);

		for (int64_t value : values)
			ks_histogram_record(histogram, value);
		std::sort(sorted.begin(), sorted.end());
		size_t rank = (sorted.size() * percent + 99) / 100;
		int64_t exact = sorted[std::max<size_t>(rank, 1) - 1];
		int64_t found =
			ks_histogram_quantile(histogram, percent / 100.0);

		ks_metrics_free(metrics);
		RC_ASSERT(found >= exact - exact / 16 - 1);
		RC_ASSERT(found <= exact + exact / 16 + 1);
	});
}

int main()
{
	return check_quantiles() ? 0 : 1;
}
