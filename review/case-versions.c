/*
 * A replica goes down and up by turns under its id and at its address. It is up
 * again with another version of its software, while the store does its write
 * late. Streams run meanwhile.
 *
 * usage: case-versions RECORD TROUBLE
 */
#include "world-2.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define N_GATEWAYS 4
#define N_REPLICAS 10
#define N_STREAMS 120
#define DEADLINE_MS 8000
#define EVENTS 19
#define GAP_MS 100
#define DOWN_MS 700
#define UP_MS 700
#define LATE_MS 1500

static struct gateway gateways[N_GATEWAYS];
static struct replica replicas[N_REPLICAS];

struct stream {
	int number;
	int last_event;
	int old_events;
	int new_events;
	bool complete;
	bool odd;
	bool done;
};

static struct stream streams[N_STREAMS];

static void *run_stream(void *arg)
{
	struct stream *stream = arg;
	int64_t until = now_ms() + DEADLINE_MS;
	struct gateway *gateway = &gateways[stream->number % N_GATEWAYS];
	char buffer[16384], events[256] = "";
	size_t len = 0, seen = 0;
	int fd = connect_to(gateway->port, 1000);

	buffer[0] = '\0';
	if (fd >= 0)
		send_text(fd,
			  "POST /fit/stream HTTP/1.1\r\nHost: shop.example\r\n"
			  "Request-Id: %016x\r\nModel: m\r\nToken-Count: "
			  "1460,19\r\nPrompt-Prefix: %x:800,%x:660\r\n"
			  "Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
			  0x5eed0000u + stream->number, 0x500 + stream->number,
			  0x1000 + stream->number, DEADLINE_MS);
	while (fd >= 0 &&
	       read_more(fd, buffer, sizeof(buffer), &len, until) > 0) {
		char *at;

		while ((at = strstr(buffer + seen, "\nid: ")) &&
		       strstr(at, "\n\n")) {
			int id = atoi(at + 5);
			bool is_new =
				strstr(at, "\n\n") > strstr(at, " of 1.5") &&
				strstr(at, " of 1.5");

			stream->odd |= id != stream->last_event + 1;
			stream->last_event = id;
			stream->old_events += !is_new;
			stream->new_events += is_new;
			snprintf(events + strlen(events),
				 sizeof(events) - strlen(events), "%d@%s ", id,
				 is_new ? "1.5" : "1.4");
			seen = (size_t)(at - buffer) + 5;
		}
		if (strstr(buffer, "\r\n0\r\n\r\n")) {
			stream->complete = true;
			break;
		}
	}
	if (fd >= 0)
		close(fd);
	record("client stream=%d gateway=%s complete=%d %sevents=%s",
	       stream->number, gateway->name, stream->complete,
	       stream->old_events && stream->new_events ? "TWO VERSIONS " : "",
	       events);
	stream->done = true;
	return NULL;
}

static void *announce_late(void *arg)
{
	sleep_ms(getenv("LATE") ? atoi(getenv("LATE")) : LATE_MS);
	replica_announce(arg);
	record("the store has done the late write");
	return NULL;
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
	bool trouble = argc < 3 || strcmp(argv[2], "0") != 0;
	struct replica *flapping = &replicas[N_REPLICAS - 1];
	int store, mixed = 0, complete = 0;

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
			world_end();
			return 2;
		}
	sleep_ms(5000);
	if (trouble) {
		record("%s goes down", flapping->id);
		replica_crash(flapping);
		sleep_ms(DOWN_MS);
		flapping->software = "1.5";
		replica_listen(flapping);
		record("%s is up with software 1.5, its write is done late",
		       flapping->id);
		start_thread(announce_late, flapping);
	}
	for (int i = 0; i < N_STREAMS; i++) {
		streams[i].number = i;
		start_thread(run_stream, &streams[i]);
	}
	sleep_ms(UP_MS);
	if (trouble) {
		record("%s goes down", flapping->id);
		replica_crash(flapping);
	}
	for (int i = 0; i < N_STREAMS; i++) {
		while (!streams[i].done)
			sleep_ms(20);
		mixed += streams[i].old_events && streams[i].new_events;
		complete += streams[i].complete;
	}
	record("streams=%d complete=%d with two versions=%d: the rule %s",
	       N_STREAMS, complete, mixed, mixed > 2 ? "is broken" : "holds");
	printf("streams=%d complete=%d with two versions=%d: the rule %s\n",
	       N_STREAMS, complete, mixed, mixed > 2 ? "is broken" : "holds");
	world_end();
	return mixed > 2;
}
