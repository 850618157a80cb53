#!/bin/sh
# Builds the program that plays the cases of this review with processes, from
# the project's own models of the platform in tests/sim. Needs the packages of
# the deploy file. Its result is review/standin-3/build/case.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/standin-3/build
# shellcheck disable=SC2046
"${CXX:-c++}" -std=c++17 -O1 -g -Wall -Wextra -Ilib/base \
	$(pkg-config --cflags jansson libcrypto) review/standin-3/case.cc \
	-o review/standin-3/build/case -lcivetweb \
	$(pkg-config --libs jansson libcrypto) -lpthread
