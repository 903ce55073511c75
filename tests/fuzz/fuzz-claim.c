/*
 * Fuzzes the decoding of claim rows, which record that an idempotent request is
 * running or completed, and the state machine that interprets them.
 */
#include "fuzz.h"
#include "ks/request.h"

#include <string.h>

static void check_round_trip(const ks_claim_t *claim)
{
	char *text = ks_claim_encode(claim);
	ks_claim_t again;
	char *text2;

	g_assert(ks_claim_decode(&again, ks_str_from(text), NULL));
	text2 = ks_claim_encode(&again);
	g_assert(!strcmp(text, text2));
	ks_claim_deinit(&again);
	g_free(text);
	g_free(text2);
}

static void feed_machine(const ks_claim_t *row)
{
	static const uint8_t fingerprint[KS_FINGERPRINT_SIZE] = { 1 };
	static const ks_id_t holder = { { 2 } }, request = { { 3 } };
	const ks_claim_times_t now = { KS_USEC_PER_SEC,
				       1000 * KS_USEC_PER_SEC };
	ks_claim_machine_t machine;
	ks_claim_step_t step;

	ks_claim_machine_init(&machine, fingerprint, &holder, &request,
			      now.wall_us, KS_USEC_PER_SEC, now);
	step = ks_claim_machine_start(&machine);
	g_assert(step == KS_CLAIM_STEP_INSERT);
	step = ks_claim_machine_event(
		&machine, KS_CLAIM_EVENT_PRECONDITION_FAILED, KS_STR(""), now);
	if (step == KS_CLAIM_STEP_READ)
		step = ks_claim_machine_row(&machine, row, KS_STR("e"), now);
	/* A request must not run if another one has written the claim. */
	g_assert(step != KS_CLAIM_STEP_DISPATCH ||
		 ks_id_equal(&row->request, &request));
	ks_claim_machine_deinit(&machine);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GError *error = NULL;
	ks_claim_t claim;

	if (ks_claim_decode(&claim, fuzz_str(data, size), &error)) {
		check_round_trip(&claim);
		feed_machine(&claim);
	}
	g_assert(!error || !claim.answer);
	ks_claim_deinit(&claim);
	g_clear_error(&error);
	return 0;
}
