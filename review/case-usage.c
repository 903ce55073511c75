/*
 * All machines lose power just after a usage report was accepted, and the store
 * returns from a copy that is some seconds old. The platform accepts reports
 * and remembers the counts of each window.
 *
 * usage: case-usage RECORD TROUBLE
 */
#include "world-2.h"

#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define N_GATEWAYS 4
#define N_REPLICAS 3
#define WINDOW_S 5
#define COPY_AGE_MS 3000
#define DOWN_MS 1000
#define PER_S 20

static struct gateway gateways[N_GATEWAYS];
static struct replica replicas[N_REPLICAS];

#define MAX_WINDOWS 100
static struct {
	int64_t window;
	char *counts;
	int64_t at_ms;
} accepted[MAX_WINDOWS];
static int n_accepted;
static int n_differing;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool handle_cloud(void *ctx, struct request *request)
{
	json_t *body = json_loads(request->body, 0, NULL);
	int64_t window = json_integer_value(json_object_get(body, "window"));
	char *counts = json_dumps(json_object_get(body, "counts"),
				  JSON_COMPACT | JSON_SORT_KEYS);
	const char *verdict = "first";
	int i = 0;

	(void)ctx;
	pthread_mutex_lock(&lock);
	while (i < n_accepted && accepted[i].window != window)
		i++;
	if (i == n_accepted && i < MAX_WINDOWS) {
		accepted[i].window = window;
		accepted[i].counts = counts;
		accepted[i].at_ms = now_ms();
		n_accepted++;
	} else if (!strcmp(accepted[i].counts, counts)) {
		verdict = "repeat";
	} else {
		verdict = "OTHER COUNTS THAN BEFORE";
		n_differing++;
	}
	pthread_mutex_unlock(&lock);
	record("usage window=%lld counts=%s holder=%s fence=%s: %s",
	       (long long)window, counts, field_of(request, "duty-holder"),
	       field_of(request, "fencing-token"), verdict);
	json_decref(body);
	return send_text(request->fd,
			 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

static volatile bool ends;

/* Sends requests of two tenants through all machines. */
static void *send_requests(void *arg)
{
	static const char *const keys[] = { "key-one", "key-two" };

	(void)arg;
	for (int i = 0; !ends; i++, sleep_ms(1000 / PER_S)) {
		int fd = connect_to(gateways[i % N_GATEWAYS].port, 200);
		char buffer[1024];
		size_t len = 0;

		if (fd < 0)
			continue;
		send_text(fd,
			  "GET /balance/x HTTP/1.1\r\nHost: shop.example\r\n"
			  "Request-Id: %016x\r\nAuthorization: Token %s\r\n"
			  "Deadline-Ms: 1500\r\nConnection: close\r\n\r\n",
			  i + 1, keys[i % 2]);
		while (read_more(fd, buffer, sizeof(buffer), &len,
				 now_ms() + 1500) > 0)
			;
		close(fd);
	}
	return NULL;
}

static void start_gateways(int store, const struct bounds *bounds)
{
	static const char *const zones[] = { "busan-a", "busan-b", "ulsan-a",
					     "changwon-a" };
	char name[32];

	for (int i = 0; i < N_GATEWAYS; i++) {
		snprintf(name, sizeof(name), "front-%s-1", zones[i]);
		gateway_start(&gateways[i], name, zones[i], store, bounds);
	}
}

static bool await_ready(void)
{
	for (int i = 0; i < N_GATEWAYS; i++)
		if (!gateway_await_ready(&gateways[i], 20000))
			return false;
	return true;
}

static bool await_accepted(int n, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	while (n_accepted < n && now_ms() < until)
		sleep_ms(5);
	return n_accepted >= n;
}

int main(int argc, char **argv)
{
	struct bounds bounds = { .drain_ms = 3000,
				 .grace_s = 8,
				 .slack = 84,
				 .lease_ms = 3000,
				 .memory_mb = 160,
				 .max_fds = 4100,
				 .usage_window_s = WINDOW_S };
	bool trouble = argc < 3 || strcmp(argv[2], "0") != 0;
	const char *kill_all = getenv("KILL"), *drill = getenv("DRILL");
	int store, fd;

	bounds.cloud_port = 0;

	signal(SIGPIPE, SIG_IGN);
	record_open(argc > 1 ? argv[1] : "record.txt");
	store = store_start();
	fd = listen_on_free_port(&bounds.cloud_port);
	serve(fd, handle_cloud, NULL);
	store_put("op", "config",
		  "{\"version\":7,\"routes\":[{\"name\":\"balance\",\"host\":"
		  "\"shop.example\",\"prefix\":\"/balance/\",\"kind\":"
		  "\"idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":"
		  "150,\"priority\":2,\"service\":\"app\",\"max-attempts\":2,"
		  "\"public\":false}],\"services\":[{\"name\":\"app\","
		  "\"health-path\":\"/health\",\"max-connections\":190,"
		  "\"protocol\":\"h1\",\"tls\":false}],\"tenants\":[{\"name\":"
		  "\"one\",\"api-keys\":[\"key-one\"]},{\"name\":\"two\","
		  "\"api-keys\":[\"key-two\"]}],\"limits\":{"
		  "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
		  "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
	for (int i = 0; i < N_REPLICAS; i++) {
		replicas[i] = (struct replica){ .service = "app",
						.zone = "busan-a",
						.software = "1.4",
						.work_ms = 10 };
		snprintf(replicas[i].id, sizeof(replicas[i].id), "app-%d", i);
		replica_start(&replicas[i]);
	}
	store_keep_copies();
	start_gateways(store, &bounds);
	if (!await_ready()) {
		record("a gateway is not ready");
		world_end();
		return 2;
	}
	start_thread(send_requests, NULL);
	if (!await_accepted(3, 45000)) {
		record("no three usage reports were accepted");
		world_end();
		return 2;
	}
	sleep_ms(200);
	if (trouble) {
		if (!kill_all || strcmp(kill_all, "0") != 0) {
			record("all machines lose power");
			for (int i = 0; i < N_GATEWAYS; i++)
				gateway_signal(&gateways[i], SIGKILL);
		}
		if (!drill || strcmp(drill, "0") != 0) {
			record("the store is away");
			store_set_away(true);
		}
		sleep_ms(DOWN_MS);
		if (!drill || strcmp(drill, "0") != 0) {
			store_return(COPY_AGE_MS + DOWN_MS);
			record("the store returns from a copy of %d ms before",
			       COPY_AGE_MS);
		}
		if (!kill_all || strcmp(kill_all, "0") != 0) {
			start_gateways(store, &bounds);
			record("the machines start again");
		}
	}
	sleep_ms(25000);
	ends = true;
	record("windows=%d with other counts=%d: the rule %s", n_accepted,
	       n_differing, n_differing ? "is broken" : "holds");
	printf("windows=%d with other counts=%d: the rule %s\n", n_accepted,
	       n_differing, n_differing ? "is broken" : "holds");
	world_end();
	if (n_accepted < 4)
		return 2;
	return n_differing > 0;
}
