/* Numeric IP addresses with a port. */
#include "ks/connection.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

static bool is_ip_number(const char *ip)
{
	unsigned char bytes[sizeof(struct in6_addr)];

	return inet_pton(strchr(ip, ':') ? AF_INET6 : AF_INET, ip, bytes) == 1;
}

/* Splits "IP:PORT" or "[IP]:PORT". */
static bool split_address(ks_str_t text, ks_str_t *ip, ks_str_t *port)
{
	const char *colon = NULL;

	for (size_t i = 0; i < text.len; i++)
		if (text.data[i] == ':')
			colon = text.data + i;
	if (!colon)
		return false;
	*ip = (ks_str_t){ text.data, (size_t)(colon - text.data) };
	*port = (ks_str_t){ colon + 1, text.len - ip->len - 1 };
	if (ip->len >= 2 && ip->data[0] == '[' && colon[-1] == ']') {
		ip->data++;
		ip->len -= 2;
		return true;
	}
	return !memchr(ip->data, ':', ip->len);
}

/**
 * ks_address_parse() - parse "IP:PORT", with an IPv6 address in brackets
 *
 * Host names are rejected: processes address each other by IP address only.
 *
 * Return: false, with KS_ERROR_BAD_REQUEST, for any other form.
 */
bool ks_address_parse(ks_address_t *address, ks_str_t text, GError **error)
{
	ks_str_t ip, port;
	int64_t number;

	if (!split_address(text, &ip, &port) || ip.len >= sizeof(address->ip) ||
	    !port.len || !g_ascii_isdigit(*port.data) ||
	    !ks_str_parse_int(port, 0, UINT16_MAX, &number))
		goto bad;
	memcpy(address->ip, ip.data, ip.len);
	address->ip[ip.len] = '\0';
	address->port = (uint16_t)number;
	if (is_ip_number(address->ip))
		return true;
bad:
	ks_error_set(error, KS_ERROR_BAD_REQUEST,
		     "'%.*s' is not an address of the form IP:PORT",
		     (int)MIN(text.len, 80), text.data ? text.data : "");
	return false;
}

/**
 * ks_address_format() - format an address for ks_address_parse()
 *
 * Return: @buf.
 */
const char *ks_address_format(const ks_address_t *address,
			      char buf[KS_ADDRESS_TEXT_SIZE])
{
	bool v6 = strchr(address->ip, ':') != NULL;

	snprintf(buf, KS_ADDRESS_TEXT_SIZE, v6 ? "[%s]:%u" : "%s:%u",
		 address->ip, address->port);
	return buf;
}

/**
 * ks_address_is_loopback() - whether traffic to the address stays on the host
 */
bool ks_address_is_loopback(const ks_address_t *address)
{
	return !strncmp(address->ip, "127.", 4) || !strcmp(address->ip, "::1");
}
