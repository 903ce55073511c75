/*
 * Many machines are lost at once while streams run. Clients whose streams were
 * broken take them up again at the machines that are left.
 *
 * usage: case-streams RECORD TROUBLE
 */
#include "world-2.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* As lakbay-galaw-grown has. */
#define N_GATEWAYS 28
#define N_LEFT 6
#define N_REPLICAS 6
#define N_STREAMS 120
#define N_NEW 40

/* The sheet: pauses up to 200 ms, 19 tokens, a deadline of 8,000 ms. */
#define EVENTS 19
#define GAP_MS 100
#define DEADLINE_MS 8000
#define CONTACT_MS 4000

/* A few tries, as the pages say of clients. */
#define MAX_TRIES 3

static struct gateway gateways[N_GATEWAYS];
static struct replica replicas[N_REPLICAS];

struct stream {
	int number;
	int gateway;
	bool resumes;
	int last_event;
	bool has_broken;
	bool began;
	bool went_on;
	bool complete;
	bool odd;
	bool done;
};

static struct stream streams[N_STREAMS + N_NEW];
static volatile bool cut;

/* Reads a stream until its end, a break, or until the client drops it. */
static void follow(struct stream *stream, int fd, int64_t until, bool drops,
		   int *status)
{
	char buffer[16384];
	size_t len = 0, seen = 0;

	*status = 0;
	buffer[0] = '\0';
	while (!(drops && cut && stream->last_event)) {
		ssize_t n = read_more(fd, buffer, sizeof(buffer), &len,
				      now_ms() + 20);
		char *at;

		if (n == -2 && now_ms() < until)
			continue;
		if (n <= 0)
			break;
		if (!*status && strstr(buffer, "\r\n\r\n"))
			*status = atoi(buffer + 9);
		while (*status == 200 &&
		       (at = strstr(buffer + seen, "\nid: ")) &&
		       strstr(at, "\n\n")) {
			int id = atoi(at + 5);

			stream->odd |= id != stream->last_event + 1;
			stream->last_event = id;
			seen = (size_t)(at - buffer) + 5;
		}
		if (*status == 200 && strstr(buffer, "\r\n0\r\n\r\n")) {
			stream->complete = true;
			break;
		}
		if (*status && *status != 200)
			break;
	}
}

static void *run_stream(void *arg)
{
	struct stream *stream = arg;
	int64_t until = now_ms() + DEADLINE_MS;
	char first[32], id[40], more[128] = "";
	int gateway = stream->gateway;

	snprintf(first, sizeof(first), "%016x", 0x5eed0000u + stream->number);
	for (int try = 0; try <= MAX_TRIES; try++) {
		int fd = connect_to(gateways[gateway].port, 1000), status = 0;
		int before = stream->last_event;
		char id_text[32];

		snprintf(id_text, sizeof(id_text), "%08x%08x",
			 0x5eed0000u + stream->number, try);
		snprintf(id, sizeof(id), "%s", try ? id_text : first);
		if (fd >= 0) {
			send_text(fd,
				  "POST /fit/stream HTTP/1.1\r\nHost: "
				  "shop.example\r\nRequest-Id: %s\r\n%sModel: "
				  "m\r\nToken-Count: 1460,17\r\nPrompt-Prefix: "
				  "5c1e07a2:800,%x:660\r\nDeadline-Ms: "
				  "%lld\r\nContent-Length: 2\r\n\r\n{}",
				  id, more, 0x1000 + stream->number,
				  (long long)(until - now_ms()));
			follow(stream, fd, until,
			       !try && stream->number < N_STREAMS, &status);
			close(fd);
		}
		stream->began |= stream->last_event > 0;
		record("client stream=%d try=%d gateway=%s request=%s%s%s "
		       "status=%d events=%d..%d complete=%d",
		       stream->number, try, gateways[gateway].name, id,
		       try ? " resumes=" : "", try ? first : "", status,
		       before + 1, stream->last_event, stream->complete);
		if (try && stream->last_event > before)
			stream->went_on = true;
		if (stream->complete || !stream->began || now_ms() >= until)
			break;
		if (!try)
			stream->has_broken = true;
		else
			sleep_ms(500);
		/* Wait until the loss is over; the rest are left. */
		while (!cut)
			sleep_ms(10);
		snprintf(more, sizeof(more),
			 "Resumes: %s\r\nLast-Event-Id: %d\r\n", first,
			 stream->last_event);
		gateway = N_GATEWAYS - N_LEFT + (stream->number + try) % N_LEFT;
	}
	stream->done = true;
	return NULL;
}

static void run_streams(int first, int n, bool is_new)
{
	for (int i = first; i < first + n; i++) {
		streams[i].number = i;
		streams[i].gateway = is_new ? N_GATEWAYS - N_LEFT + i % N_LEFT
					    : i % (N_GATEWAYS - N_LEFT);
		start_thread(run_stream, &streams[i]);
	}
}

static void await_streams(int first, int n)
{
	int64_t until = now_ms() + 3 * DEADLINE_MS;

	for (int i = first; i < first + n; i++)
		while (!streams[i].done && now_ms() < until)
			sleep_ms(20);
}

int main(int argc, char **argv)
{
	static const char *const zones[] = { "luzon-a", "luzon-b", "luzon-c" };
	struct bounds bounds = { .drain_ms = 3000,
				 .grace_s = 8,
				 .slack = 96,
				 .lease_ms = 3000,
				 .memory_mb = 120,
				 .max_fds = 3075 };
	int resumed = 0, went_on = 0, began = 0, fresh = 0, store;
	bool trouble = argc < 3 || strcmp(argv[2], "0") != 0, broken;
	struct stream *stream;

	signal(SIGPIPE, SIG_IGN);
	record_open(argc > 1 ? argv[1] : "record.txt");
	store = store_start();
	store_put("op", "config",
		  "{\"version\":7,\"routes\":[{\"name\":\"fit\",\"host\":"
		  "\"shop.example\",\"prefix\":\"/fit/\",\"kind\":"
		  "\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":"
		  "1200,\"priority\":1,\"service\":\"lm\",\"max-attempts\":2,"
		  "\"session-affinity\":true,\"resumable\":true,"
		  "\"gap-target-ms\":200}],\"services\":[{\"name\":\"lm\","
		  "\"health-path\":\"/health\",\"max-connections\":490,"
		  "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
		  "\"kv-capacity-tokens\":484566}}],\"limits\":{"
		  "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
		  "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
	for (int i = 0; i < N_REPLICAS; i++) {
		replicas[i] = (struct replica){ .service = "lm",
						.zone = zones[i % 3],
						.software = "1.4",
						.events = EVENTS,
						.gap_ms = GAP_MS };
		snprintf(replicas[i].id, sizeof(replicas[i].id), "lm-%d", i);
		replica_start(&replicas[i]);
	}
	for (int i = 0; i < N_GATEWAYS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-%s-%d", zones[i % 3], i);
		gateway_start(&gateways[i], name, zones[i % 3], store, &bounds);
	}
	for (int i = 0; i < N_GATEWAYS; i++)
		if (!gateway_await_ready(&gateways[i], 20000)) {
			record("gateway %s is not ready", gateways[i].name);
			world_end();
			return 2;
		}
	/* All machines are in touch, and know each other. */
	sleep_ms(CONTACT_MS + 4000);
	run_streams(0, N_STREAMS, false);
	sleep_ms(900);
	if (trouble)
		for (int i = 0; i < N_GATEWAYS - N_LEFT; i++)
			kill(gateways[i].pid, SIGKILL);
	cut = true;
	record(trouble ? "%d of %d machines are killed"
		       : "clients leave the first %d of %d machines",
	       N_GATEWAYS - N_LEFT, N_GATEWAYS);
	sleep_ms(300);
	run_streams(N_STREAMS, N_NEW, true);
	await_streams(0, N_STREAMS + N_NEW);
	for (stream = streams; stream < streams + N_STREAMS + N_NEW; stream++) {
		if (stream->number >= N_STREAMS) {
			fresh++;
			began += stream->began;
		} else if (stream->has_broken) {
			resumed++;
			went_on += stream->went_on;
		}
	}
	broken = resumed >= 12 &&
		 (double)went_on / resumed < 0.5 * (double)began / fresh;
	record("taken up again=%d went on=%d new=%d began=%d: the rule %s",
	       resumed, went_on, fresh, began, broken ? "is broken" : "holds");
	printf("taken up again=%d went on=%d new=%d began=%d: the rule %s\n",
	       resumed, went_on, fresh, began, broken ? "is broken" : "holds");
	world_end();
	if (resumed < 12 || began < fresh / 2)
		return 2;
	return broken;
}
