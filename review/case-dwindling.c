/*
 * Replicas of a service are replaced by ones of a newer version. The only one
 * of the old version that still decodes crashes while it writes streams. Their
 * clients take them up again.
 *
 * usage: case-dwindling RECORD TROUBLE
 */
#include "world-2.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define N_GATEWAYS 4
/* The sheet: 9 replicas; a release replaces 0.45 of them, one a second. */
#define N_OLD 9
#define N_REPLACED 4
#define N_PREFILL 3
#define RELEASE_GAP_MS 1000
#define N_STREAMS 240
#define N_FRESH 40
#define N_LEAVING 40
#define DEADLINE_MS 8000
#define EVENTS 25
#define GAP_MS 100

static struct gateway gateways[N_GATEWAYS];
static struct replica replicas[N_OLD + N_REPLACED];
static bool trouble;
static volatile bool crashed;

struct stream {
	int number;
	int last_event;
	bool resumed;
	bool went_on;
	bool complete;
	bool done;
};

static struct stream streams[N_STREAMS + N_FRESH];

static void *run_stream(void *arg)
{
	struct stream *stream = arg;
	int64_t until = now_ms() + DEADLINE_MS;
	char more[128] = "";

	/* The sheet: one retry. */
	for (int try = 0; try < 2 && !stream->complete; try++) {
		struct gateway *gateway =
			&gateways[(stream->number + try) % N_GATEWAYS];
		int fd = connect_to(gateway->port, 1000), status = 0;
		bool leaves = !trouble && !try && stream->number < N_LEAVING;
		int before = stream->last_event;
		char buffer[16384] = "";
		size_t len = 0, seen = 0;

		if (try && before) {
			snprintf(more, sizeof(more),
				 "Resumes: %08x%08x\r\nLast-Event-Id: %d\r\n",
				 0x5eed0000u + stream->number, 0, before);
			stream->resumed = true;
		}
		if (fd < 0)
			continue;
		send_text(fd,
			  "POST /draft/stream HTTP/1.1\r\nHost: shop.example"
			  "\r\nRequest-Id: %08x%08x\r\n%sModel: m\r\n"
			  "Token-Count: 1460,25\r\nPrompt-Prefix: %x:350,"
			  "%x:1110\r\nDeadline-Ms: %lld\r\nContent-Length: 2"
			  "\r\n\r\n{}",
			  0x5eed0000u + stream->number, try, more,
			  0x500 + stream->number, 0x1000 + stream->number,
			  (long long)(until - now_ms()));
		while (!(leaves && crashed && stream->last_event)) {
			ssize_t n = read_more(fd, buffer, sizeof(buffer), &len,
					      now_ms() + 20);
			char *at;

			if (n == -2 && now_ms() < until)
				continue;
			if (n <= 0)
				break;
			if (!status && strstr(buffer, "\r\n\r\n"))
				status = atoi(buffer + 9);
			while (status == 200 &&
			       (at = strstr(buffer + seen, "\nid: ")) &&
			       strstr(at, "\n\n")) {
				stream->last_event = atoi(at + 5);
				seen = (size_t)(at - buffer) + 5;
			}
			stream->complete = status == 200 &&
					   strstr(buffer, "\r\n0\r\n\r\n");
			if (stream->complete || (status && status != 200))
				break;
		}
		close(fd);
		record("client stream=%d try=%d gateway=%s status=%d "
		       "events=%d..%d complete=%d",
		       stream->number, try, gateway->name, status, before + 1,
		       stream->last_event, stream->complete);
		stream->went_on |= try && before && stream->last_event > before;
		if (!stream->last_event)
			break;
		sleep_ms(100);
	}
	stream->done = true;
	return NULL;
}

static void start_replica(int i)
{
	static const char *const zones[] = { "dub-a", "dub-b", "dub-c",
					     "dub-d" };
	bool is_old = i < N_OLD;
	int number = is_old ? i : i - N_OLD;

	replicas[i] = (struct replica){
		.service = "lm",
		.zone = zones[i % 4],
		.software = is_old ? "1.4" : "1.5",
		.events = EVENTS,
		.gap_ms = GAP_MS,
		.stage = number < (is_old ? N_PREFILL : 1) ? "prefill"
							   : "decode",
	};
	snprintf(replicas[i].id, sizeof(replicas[i].id), "%s-%s-%d",
		 is_old ? "old" : "new", replicas[i].stage, number);
	replica_start(&replicas[i]);
}

/*
 * New replicas start, and then old ones drain: those that decode but for one,
 * then others. Returns the old one that still decodes.
 */
static struct replica *release(void)
{
	struct replica *last = NULL;
	int n = 0;

	for (int i = N_OLD - 1; i >= 0 && !last; i--)
		if (!strcmp(replicas[i].stage, "decode"))
			last = &replicas[i];
	for (int pass = 0; pass < 2; pass++)
		for (int i = 0; i < N_OLD && n < N_REPLACED; i++) {
			bool decodes = !strcmp(replicas[i].stage, "decode");

			if (&replicas[i] == last || replicas[i].draining ||
			    decodes != !pass)
				continue;
			start_replica(N_OLD + n);
			replicas[i].draining = true;
			replica_announce(&replicas[i]);
			record("release: %s is replaced by %s", replicas[i].id,
			       replicas[N_OLD + n].id);
			if (++n < N_REPLACED)
				sleep_ms(RELEASE_GAP_MS);
		}
	return last;
}

int main(int argc, char **argv)
{
	static const char *const zones[] = { "dub-a", "dub-b", "dub-c",
					     "dub-d" };
	struct bounds bounds = { .drain_ms = 2000,
				 .grace_s = 8,
				 .slack = 52,
				 .lease_ms = 3000,
				 .memory_mb = 260,
				 .max_fds = 4100 };
	struct replica *last = NULL;
	int store, resumed = 0, went_on = 0, began = 0;
	bool broken;

	signal(SIGPIPE, SIG_IGN);
	trouble = argc < 3 || strcmp(argv[2], "0") != 0;
	record_open(argc > 1 ? argv[1] : "record.txt");
	store = store_start();
	store_put("op", "config",
		  "{\"version\":7,\"routes\":[{\"name\":\"draft\",\"host\":"
		  "\"shop.example\",\"prefix\":\"/draft/\",\"kind\":"
		  "\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":"
		  "500,\"priority\":0,\"service\":\"lm\",\"max-attempts\":2,"
		  "\"session-affinity\":true,\"resumable\":true,"
		  "\"gap-target-ms\":300}],\"services\":[{\"name\":\"lm\","
		  "\"health-path\":\"/health\",\"max-connections\":360,"
		  "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
		  "\"kv-capacity-tokens\":443784,\"kv-token-bytes\":35136,"
		  "\"link-mbps\":740000.0,\"handle-ttl-s\":5.0,"
		  "\"role-switch-s\":3.0}}],\"limits\":{\"max-header-bytes\":"
		  "16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
		  "\"idle-timeout-ms\":15000}}");
	for (int i = 0; i < N_OLD; i++)
		start_replica(i);
	for (int i = 0; i < N_GATEWAYS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-%s-1", zones[i]);
		gateway_start(&gateways[i], name, zones[i], store, &bounds);
	}
	for (int i = 0; i < N_GATEWAYS; i++)
		if (!gateway_await_ready(&gateways[i], 20000)) {
			world_end();
			return 2;
		}
	sleep_ms(12500);
	if (trouble)
		last = release();
	sleep_ms(500);
	for (int i = 0; i < N_STREAMS; i++, sleep_ms(5)) {
		streams[i].number = i;
		start_thread(run_stream, &streams[i]);
	}
	if (trouble) {
		sleep_ms(300);
		replica_crash(last);
		record("%s crashes; %d replicas of its version serve", last->id,
		       N_OLD - N_REPLACED - 1);
	}
	crashed = true;
	for (int i = N_STREAMS; i < N_STREAMS + N_FRESH; i++, sleep_ms(50)) {
		streams[i].number = i;
		start_thread(run_stream, &streams[i]);
	}
	/* The notice of those that leave is over; they run no streams. */
	for (int i = 0; i < N_OLD; i++) {
		if (!replicas[i].draining)
			continue;
		replica_withdraw(&replicas[i]);
		replica_crash(&replicas[i]);
	}
	for (int i = 0; i < N_STREAMS + N_FRESH; i++) {
		struct stream *stream = &streams[i];

		while (!stream->done)
			sleep_ms(20);
		if (i >= N_STREAMS)
			began += stream->last_event > 0;
		resumed += i < N_STREAMS && stream->resumed;
		went_on += i < N_STREAMS && stream->went_on;
	}
	broken = resumed >= 12 &&
		 (double)went_on / resumed < 0.5 * (double)began / N_FRESH;
	record("taken up again=%d went on=%d new=%d began=%d: the rule %s",
	       resumed, went_on, N_FRESH, began,
	       broken ? "is broken" : "holds");
	printf("taken up again=%d went on=%d new=%d began=%d: the rule %s\n",
	       resumed, went_on, N_FRESH, began,
	       broken ? "is broken" : "holds");
	world_end();
	return broken;
}
