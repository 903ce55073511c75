/*
 * Generates a ZeroMQ CURVE key pair for tests and prints the public key and the
 * secret key, separated by a space.
 */
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#define KEY_TEXT_SIZE 41

int main(void)
{
	char public_key[KEY_TEXT_SIZE], secret_key[KEY_TEXT_SIZE];

	if (zmq_curve_keypair(public_key, secret_key)) {
		fprintf(stderr, "fake-keys: %s\n", zmq_strerror(zmq_errno()));
		return EXIT_FAILURE;
	}
	printf("%s %s\n", public_key, secret_key);
	return EXIT_SUCCESS;
}
