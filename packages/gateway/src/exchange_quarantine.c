/*
 * Tells the quarantine which requests were lost and answered, and refuses
 * requests of which the content, or a part of the prompt, is held.
 */
#include "gateway_internal.h"

#include <string.h>
#include <xxhash.h>

/*
 * An upstream that fails this soon after the first byte of a response may have
 * failed because of it.
 */
#define BEGINNING_US (100 * KS_USEC_PER_MSEC)

/* Retry-After of a request with a held part, in seconds. */
#define RETRY_AFTER_HELD_S 60.0

static void on_held(void *ctx, uint64_t part, unsigned crashes)
{
	ks_gateway_t *gateway = ctx;

	ks_counter_add(gateway->counters.held, 1);
	ks_log(KS_LOG_ROUTE, KS_LOG_WARN,
	       "requests with a part of a prompt or a content are refused, as "
	       "upstreams crash on it part=%016" PRIx64 " crashes=%u",
	       part, crashes);
	if (gateway->hold_keeper)
		gateway->hold_keeper->changed(gateway->hold_keeper_ctx, part,
					      crashes > 0);
}

static void on_lifted(void *ctx, uint64_t part)
{
	ks_gateway_t *gateway = ctx;

	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       "a part of a prompt or a content is no longer held, as a request "
	       "with it was answered part=%016" PRIx64,
	       part);
	if (gateway->hold_keeper)
		gateway->hold_keeper->changed(gateway->hold_keeper_ctx, part,
					      true);
}

static const ks_quarantine_events_t quarantine_events = {
	.held = on_held,
	.lifted = on_lifted,
};

void gateway_quarantine_init(ks_gateway_t *gateway)
{
	ks_quarantine_init(&gateway->quarantine, &quarantine_events, gateway);
}

/**
 * ks_gateway_set_hold_keeper() - set what keeps the holds of prompt parts
 * @keeper: must outlive its use; NULL for none
 */
void ks_gateway_set_hold_keeper(ks_gateway_t *gateway,
				const ks_hold_keeper_t *keeper, void *ctx)
{
	gateway->hold_keeper = keeper;
	gateway->hold_keeper_ctx = ctx;
}

static bool may_try(struct exchange *exchange, uint64_t part)
{
	const ks_gateway_t *gateway = exchange->gateway;

	if (!exchange->is_try && !exchange->sends && gateway->hold_keeper)
		exchange->is_try = gateway->hold_keeper->may_try(
			gateway->hold_keeper_ctx, part);
	return exchange->is_try && !exchange->sends;
}

static void refuse_held(struct exchange *exchange, uint64_t id, bool is_part,
			int position)
{
	ks_counter_add(exchange->gateway->counters.held_refused, 1);
	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       "%s request=%s part=%016" PRIx64 " position=%d",
	       is_part ? "a part of the prompt is held"
		       : "requests with this content are held",
	       exchange->id, id, position);
	exchange_give_up(exchange, RETRY_AFTER_HELD_S,
			 is_part ? GATEWAY_WHY_PART_HELD
				 : "upstreams crash on the request");
}

/**
 * exchange_refuse_held() - end the exchange if its content or a part of its
 * prompt is held
 *
 * Return: whether it has ended.
 */
bool exchange_refuse_held(struct exchange *exchange)
{
	ks_quarantine_t *quarantine = &exchange->gateway->quarantine;
	const ks_prompt_t *prompt = &exchange->prompt;
	int held;

	ks_quarantine_evaluate(quarantine, exchange_now(exchange));
	held = exchange->has_prompt
		       ? ks_quarantine_find_held(quarantine, prompt->shared,
						 prompt->n_shared)
		       : -1;
	if (held >= 0 && !may_try(exchange, prompt->shared[held])) {
		refuse_held(exchange, prompt->shared[held], true, held);
		return true;
	}
	held = ks_quarantine_find_held(quarantine, &exchange->content, 1);
	if (held < 0 || may_try(exchange, exchange->content))
		return false;
	refuse_held(exchange, exchange->content, false, 0);
	return true;
}

/**
 * exchange_is_suspect() - whether the request may be what crashes upstreams
 */
bool exchange_is_suspect(const struct exchange *exchange)
{
	const ks_quarantine_t *quarantine = &exchange->gateway->quarantine;
	const ks_prompt_t *prompt = &exchange->prompt;
	int64_t now = exchange_now(exchange);

	return (exchange->has_prompt &&
		ks_quarantine_is_suspect(quarantine, prompt->shared,
					 prompt->n_shared, now)) ||
	       ks_quarantine_is_repeat_suspect(quarantine, exchange->content,
					       now);
}

/* Identifies the exchange among those of all entries. */
static uint32_t exchange_tag(const struct exchange *exchange)
{
	const char *name = exchange->gateway->name;

	return XXH32(&exchange->number, sizeof(exchange->number),
		     XXH32(name, strlen(name), 0));
}

/**
 * exchange_record_loss() - record that the connection to the upstream was lost
 *
 * A request to which the upstream had been responding for long is not what made
 * it fail.
 */
void exchange_record_loss(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	const ks_prompt_t *prompt = &exchange->prompt;
	int64_t now = exchange_now(exchange);
	ks_loss_t loss = {
		.number = gateway->n_losses + 1,
		.upstream = ks_member_process_tag(exchange->member),
		.at_us = now,
		.begun = exchange->status != 0,
		.content = exchange->content,
		.request = exchange_tag(exchange),
		.service = XXH32(exchange->service_name,
				 strlen(exchange->service_name), 0),
		.n_parts = exchange->has_prompt ? prompt->n_shared : 0,
	};

	exchange_log_loss(exchange);
	if (exchange->begun_us && now - exchange->begun_us > BEGINNING_US)
		return;
	G_STATIC_ASSERT(sizeof(loss.parts) == sizeof(prompt->shared));
	memcpy(loss.parts, prompt->shared, sizeof(loss.parts));
	ks_quarantine_record_loss(&gateway->quarantine, &loss, now);
	gateway->n_losses++;
	ks_peers_queue_loss(&gateway->peers, &loss);
}

/**
 * exchange_record_answer() - record that a response was received completely
 */
void exchange_record_answer(struct exchange *exchange)
{
	ks_quarantine_t *quarantine = &exchange->gateway->quarantine;
	const ks_prompt_t *prompt = &exchange->prompt;
	int64_t now = exchange_now(exchange);

	/* A refusal does not show that the request can be run. */
	if (!exchange_implies_not_run(exchange))
		ks_quarantine_record_content(quarantine, exchange->content,
					     exchange->sent_us, now);
	if (!exchange->has_prompt || exchange->status / 100 != 2)
		return;
	quarantine->n_answers++;
	ks_quarantine_add_answers(quarantine, 1, now);
	ks_quarantine_record_answer(quarantine, prompt->shared,
				    prompt->n_shared, exchange->sent_us, now);
}

/**
 * exchange_record_alive() - record that an upstream responds to a request
 *
 * A request that was meant for another process is refused by one that follows
 * it at its address.
 */
void exchange_record_alive(struct exchange *exchange, const ks_member_t *member)
{
	if (exchange->status == 421)
		return;
	ks_quarantine_record_alive(&exchange->gateway->quarantine,
				   ks_member_process_tag(member),
				   exchange->sent_us);
}
