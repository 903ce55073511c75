/*
 * Clients send bookings with bodies in chunks. With the disruption, the chunks
 * end with a trailer field, as HTTP/1.1 allows (RFC 9112, 7.1.2).
 *
 * The body of each booking holds the id of its request. A replica must get each
 * request with the id, the body and the fields that its client sent, once.
 */
#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define N_NODES 2
#define N_REPLICAS 3
#define N_CLIENTS 60
#define N_BOOKINGS 80

/* A request is sent in three parts, as its body is made. */
#define PART_GAP_MS 20

static struct server replicas[N_REPLICAS];
static struct node nodes[N_NODES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned char runs[N_CLIENTS][N_BOOKINGS];
static int sent, served, changed, unasked, twice, denied, foreign, other;

static void publish(int i)
{
	static unsigned seq[N_REPLICAS];
	char row[512], id[16];

	snprintf(id, sizeof(id), "i-%d", i);
	snprintf(row, sizeof(row),
		 "{\"service\":\"app\",\"address\":\"%s:%d\",\"zone\":"
		 "\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":"
		 "\"ready\",\"cold-remaining-ms\":0,\"born\":%lld,\"seq\":%u}",
		 replicas[i].ip, replicas[i].port, (long long)unix_start_ms() + i,
		 ++seq[i]);
	store_put("servers", id, row);
}

/* "b", the client in two digits, the booking in four. */
static bool parse_id(const char *id, int *client, int *number)
{
	return strlen(id) == 8 && sscanf(id, "b%2x-%4x", client, number) == 2 &&
	       *client >= 0 && *client < N_CLIENTS && *number >= 0 &&
	       *number < N_BOOKINGS;
}

static bool on_request(void *ctx, struct server *server, struct conn *conn,
		       struct message *request)
{
	const char *id = message_field(request, "request-id");
	const char *expected = message_field(request, "expect-instance");
	const char *caller = message_field(request, "caller");
	int client, number;
	char name[16];

	(void)server;
	snprintf(name, sizeof(name), "i-%d", (int)(intptr_t)ctx);
	if (!id)
		return conn_print(conn, "HTTP/1.1 400 Bad Request\r\n"
					"Not-Executed: 1\r\n"
					"Content-Length: 0\r\n\r\n");
	if (expected && strcmp(expected, name) != 0)
		return conn_print(conn,
				  "HTTP/1.1 421 Misdirected Request\r\n"
				  "Request-Id: %s\r\nNot-Executed: 1\r\n"
				  "Content-Length: 0\r\n\r\n",
				  id);
	pthread_mutex_lock(&lock);
	if (!parse_id(id, &client, &number)) {
		unasked++;
		record("UNASKED: %s runs '%s', which no client sent", name, id);
	} else {
		if (runs[client][number]++) {
			twice++;
			record("TWICE: %s runs %s again, body %s", name, id,
			       request->body);
		}
		if (strcmp(request->body, id) != 0) {
			changed++;
			record("UNASKED: %s runs %s with body %s, caller %s",
			       name, id, request->body,
			       caller ? caller : "none");
		}
	}
	pthread_mutex_unlock(&lock);
	sleep_ms(15);
	return conn_print(conn,
			  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			  "Response-Seal: seal\r\nContent-Length: %zu\r\n\r\n%s",
			  id, request->body_len, request->body);
}

static void book(int client, int number)
{
	const struct node *node = &nodes[(client + number) % N_NODES];
	struct conn *conn = calloc(1, sizeof(*conn));
	struct message *m = calloc(1, sizeof(*m));
	const char *echo;
	char id[16];

	snprintf(id, sizeof(id), "b%02x-%04x", client, number);
	conn->fd = connect_to(node->ip, node->port);
	if (conn->fd < 0)
		goto out;
	conn_print(conn,
		   "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
		   "Request-Id: %s\r\nCaller: %d\r\nDeadline-Ms: 4000\r\n"
		   "Content-Type: application/x-www-form-urlencoded\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n",
		   id, client);
	sleep_ms(PART_GAP_MS);
	conn_print(conn, "%zx\r\n%s\r\n", strlen(id), id);
	conn_print(conn, "0\r\n");
	if (with_trouble())
		conn_print(conn, "Content-Digest: sha-256=:%s:\r\n",
			   "X48E9qOokqqrvdts8nOJRJN3OWDUoyWxBf7kbu9DBPE=");
	sleep_ms(PART_GAP_MS);
	conn_print(conn, "\r\n");
	pthread_mutex_lock(&lock);
	sent++;
	pthread_mutex_unlock(&lock);
	if (!conn_read_head(conn, m, true)) {
		pthread_mutex_lock(&lock);
		other++;
		record("%s: no answer from %s", id, node->name);
		pthread_mutex_unlock(&lock);
		close(conn->fd);
		goto out;
	}
	conn_read_body(conn, m, false, NULL, NULL);
	echo = message_field(m, "request-id");
	pthread_mutex_lock(&lock);
	if (m->status == 200 && !strcmp(m->body, id) && echo &&
	    !strcmp(echo, id)) {
		served++;
	} else if (m->status == 200) {
		foreign++;
		record("MIXED: the client of %s gets the answer to %s, body %s",
		       id, echo ? echo : "none", m->body);
	} else {
		denied += m->status / 100 == 4;
		other += m->status / 100 != 4;
		record("%s: %d from %s", id, m->status, node->name);
	}
	pthread_mutex_unlock(&lock);
	message_free(m);
	close(conn->fd);
out:
	free(conn);
	free(m);
}

static void *run_client(void *ctx)
{
	int client = (int)(intptr_t)ctx;

	for (int number = 0; number < N_BOOKINGS; number++) {
		book(client, number);
		sleep_ms(150 + client);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	char ip[32];
	int ends = 0, status;
	bool broken;

	harness_init(argc, argv);
	store_start(run_ip(1, ip));
	store_put("op", "config",
		  "{\"version\":1,\"routes\":[{\"name\":\"book\",\"host\":"
		  "\"shop.example\",\"prefix\":\"/book/\",\"kind\":"
		  "\"non_idempotent\",\"timeout-ms\":4000,"
		  "\"target-latency-ms\":300,\"priority\":2,\"service\":"
		  "\"app\",\"max-attempts\":1}],\"services\":[{\"name\":\"app\","
		  "\"health-path\":\"/health\",\"max-connections\":110,"
		  "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
		  "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
		  "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
	for (int i = 0; i < N_REPLICAS; i++) {
		server_start(&replicas[i], run_ip(10 + i, ip), 0, on_request,
			     (void *)(intptr_t)i);
		publish(i);
	}
	beat_start(publish, N_REPLICAS);
	for (int i = 0; i < N_NODES; i++)
		node_start(&nodes[i], i + 1);
	sleep_ms(1000);
	for (int i = 0; i < N_CLIENTS; i++)
		start_thread(run_client, (void *)(intptr_t)i);
	sleep_ms(23000);
	for (int i = 0; i < N_NODES; i++) {
		status = node_wait(&nodes[i], 0);
		if (status != -1) {
			ends++;
			record("%s has ended, status %x", nodes[i].name,
			       (unsigned)status);
		}
	}
	pthread_mutex_lock(&lock);
	record("sent=%d served=%d denied=%d other=%d", sent, served, denied,
	       other);
	printf("sent=%d served=%d 4xx=%d other failures=%d | UNASKED: foreign "
	       "ids=%d, changed=%d; TWICE: %d; MIXED: %d; processes that "
	       "ended=%d\n",
	       sent, served, denied, other, unasked, changed, twice, foreign,
	       ends);
	broken = unasked || changed || twice || foreign;
	pthread_mutex_unlock(&lock);
	end_all();
	return broken;
}
