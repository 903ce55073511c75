#!/bin/bash
# Builds the stand-ins of the scripts in review/6 to review/10 into
# target/review-2, which are small programs of their own.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/case-*.c
do
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o \
		"$out/$(basename "$case" .c)" "$case" review/world-2.c \
		$(pkg-config --cflags --libs jansson) -lpthread
done
