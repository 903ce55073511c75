/*
 * A crowd of clients comes at once to one machine. Each asks for a long answer,
 * reads it slowly and keeps its connection open. Later, a few other clients
 * come.
 *
 * usage: case-accept RECORD TROUBLE
 */
#include "world-2.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_FDS 3075
#define N_CROWD 1300
#define N_USUAL 200
#define N_OTHERS 20
#define N_REPLICAS 24
#define CONTACT_MS 4000

/* The sheet: 19 tokens, pauses up to 200 ms, a deadline of 8,000 ms. */
#define EVENTS 19
#define GAP_MS 120
#define EVENT_BYTES 2000

/* How the crowd reads: about 7 KB a second, of some 38 KB. */
#define READ_BYTES 2048
#define READ_MS 300

/* The page: for 5 s after a press, a machine may count as slowed. */
#define AFTER_PRESS_MS 5200

static struct gateway gateway;
static struct replica replicas[N_REPLICAS];
static int n_begun, n_served;
static int n_tries, n_answered;
static int64_t first_answer_ms, tries_since_ms;
static volatile bool ends;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void add(int *counter)
{
	pthread_mutex_lock(&lock);
	++*counter;
	pthread_mutex_unlock(&lock);
}

/*
 * A client of the crowd: asks for a long answer and reads it slowly. Its
 * connection stays open afterwards, for less than four fifths of the idle
 * timeout of 15 s.
 */
static void *run_crowd(void *arg)
{
	int number = (int)(intptr_t)arg, size = 4096;
	int fd = connect_to(gateway.port, 1000);
	char part[READ_BYTES + 1];
	size_t total = 0;
	bool complete = false;

	if (fd < 0)
		return NULL;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	send_text(fd,
		  "POST /cue/stream HTTP/1.1\r\nHost: shop.example\r\n"
		  "Request-Id: %016x\r\nModel: m\r\nToken-Count: 1460,19\r\n"
		  "Prompt-Prefix: 5c1e07a2:350,%x:1110\r\nDeadline-Ms: "
		  "8000\r\nContent-Length: 2\r\n\r\n{}",
		  0x10000 + number, 0x20000 + number);
	while (!ends && !complete) {
		size_t len = 0;

		/* The page: it gives up after a gap of 4.8 s. */
		if (read_more(fd, part, sizeof(part), &len, now_ms() + 4800) <=
		    0)
			break;
		if (!total)
			add(&n_begun);
		total += len;
		complete =
			len >= 7 && !memcmp(part + len - 7, "\r\n0\r\n\r\n", 7);
		sleep_ms(READ_MS);
	}
	if (complete)
		add(&n_served);
	while (complete && !ends)
		sleep_ms(100);
	close(fd);
	return NULL;
}

/* Another client: a lookup on a new connection, again if it is not read. */
static void *run_other(void *arg)
{
	int number = (int)(intptr_t)arg;

	for (int try = 0; !ends; try++) {
		int fd = connect_to(gateway.port, 1000);
		char buffer[1024];
		size_t len = 0;
		ssize_t n = -1;

		add(&n_tries);
		if (fd >= 0) {
			send_text(fd,
				  "GET /view/x HTTP/1.1\r\nHost: "
				  "shop.example\r\nRequest-Id: %08x%08x\r\n"
				  "Deadline-Ms: 4000\r\n\r\n",
				  number, try);
			n = read_more(fd, buffer, sizeof(buffer), &len,
				      now_ms() + 1000);
			close(fd);
		}
		record("other client=%d try=%d connected=%d answer=%.12s",
		       number, try, fd >= 0, n > 0 ? buffer : "none");
		if (n > 0) {
			pthread_mutex_lock(&lock);
			if (!n_answered++)
				first_answer_ms = now_ms();
			pthread_mutex_unlock(&lock);
			sleep_ms(1000);
		}
	}
	return NULL;
}

int main(int argc, char **argv)
{
	struct bounds bounds = { .drain_ms = 3000,
				 .grace_s = 8,
				 .slack = 96,
				 .lease_ms = 3000,
				 .memory_mb = 120,
				 .max_fds = MAX_FDS };
	bool trouble = argc < 3 || strcmp(argv[2], "0") != 0, ready = true,
	     broken;
	int crowd = trouble ? N_CROWD : N_USUAL, store;
	struct rlimit limit;
	int64_t until;

	signal(SIGPIPE, SIG_IGN);
	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	record_open(argc > 1 ? argv[1] : "record.txt");
	if (limit.rlim_cur < 3 * N_CROWD) {
		record("too few descriptors for the stand-ins");
		return 2;
	}
	store = store_start();
	store_put("op", "config",
		  "{\"version\":7,\"routes\":[{\"name\":\"cue\",\"host\":"
		  "\"shop.example\",\"prefix\":\"/cue/\",\"kind\":"
		  "\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":"
		  "1200,\"priority\":0,\"service\":\"lm\",\"max-attempts\":1,"
		  "\"session-affinity\":true,\"resumable\":true,"
		  "\"gap-target-ms\":200},{\"name\":\"view\",\"host\":"
		  "\"shop.example\",\"prefix\":\"/view/\",\"kind\":"
		  "\"idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":"
		  "300,\"priority\":2,\"service\":\"app\",\"max-attempts\":2}],"
		  "\"services\":[{\"name\":\"lm\",\"health-path\":\"/health\","
		  "\"max-connections\":490,\"protocol\":\"h1\",\"tls\":false,"
		  "\"engine\":{\"slots\":64,\"kv-capacity-tokens\":484566}},"
		  "{\"name\":\"app\",\"health-path\":\"/health\","
		  "\"max-connections\":230,\"protocol\":\"h1\","
		  "\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
		  "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
		  "\"idle-timeout-ms\":15000}}");
	for (int i = 0; i < N_REPLICAS; i++) {
		bool is_app = i < 3;

		replicas[i] = (struct replica){
			.service = is_app ? "app" : "lm",
			.zone = "luzon-a",
			.software = "1.4",
			.events = EVENTS,
			.gap_ms = GAP_MS,
			.event_bytes = EVENT_BYTES,
			.work_ms = 60,
		};
		snprintf(replicas[i].id, sizeof(replicas[i].id), "%s-%d",
			 is_app ? "app" : "lm", i);
		replica_start(&replicas[i]);
	}
	gateway_start(&gateway, "front-luzon-a-1", "luzon-a", store, &bounds);
	if (!gateway_await_ready(&gateway, 20000)) {
		world_end();
		return 2;
	}
	sleep_ms(CONTACT_MS + 500);
	/* They come within some 1.3 s. */
	for (int i = 0; i < crowd; i++, sleep_ms(1))
		start_thread(run_crowd, (void *)(intptr_t)i);
	sleep_ms(AFTER_PRESS_MS);
	record("crowd=%d begun=%d read whole=%d", crowd, n_begun, n_served);
	tries_since_ms = now_ms();
	for (int i = 0; i < N_OTHERS; i++)
		start_thread(run_other, (void *)(intptr_t)(0x70000 + i));
	for (until = tries_since_ms + CONTACT_MS + 1500; now_ms() < until;
	     sleep_ms(500))
		ready &= gateway_is_ready(&gateway);
	pthread_mutex_lock(&lock);
	broken = ready &&
		 (!n_answered || first_answer_ms - tries_since_ms > CONTACT_MS);
	pthread_mutex_unlock(&lock);
	record("ready=%d tries=%d answered=%d first after %lld ms: the rule %s",
	       ready, n_tries, n_answered,
	       n_answered ? (long long)(first_answer_ms - tries_since_ms) : -1,
	       broken ? "is broken" : "holds");
	printf("begun=%d read whole=%d ready=%d tries=%d answered=%d: the "
	       "rule %s\n",
	       n_begun, n_served, ready, n_tries, n_answered,
	       broken ? "is broken" : "holds");
	ends = true;
	sleep_ms(300);
	world_end();
	return !ready ? 2 : broken;
}
