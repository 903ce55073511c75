/* Parts of the store interface that do not depend on the driver. */
#include "ks/store.h"

/**
 * ks_store_outcome_name() - name of an outcome for log messages
 */
const char *ks_store_outcome_name(ks_store_outcome_t outcome)
{
	switch (outcome) {
	case KS_STORE_DONE:
		return "done";
	case KS_STORE_REFUSED:
		return "refused";
	case KS_STORE_UNREACHABLE:
		return "unreachable";
	case KS_STORE_UNKNOWN:
		return "unknown";
	}
	return "invalid";
}
