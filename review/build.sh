#!/bin/sh
# Builds the programs that the scripts start, with the packages of the deploy
# file only.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in standin/case_*.cc; do
	name=$(basename "$source" .cc)
	c++ -std=c++17 -O1 -g -Wall -Wextra -o "build/$name" "$source" \
	    $(pkg-config --cflags --libs jansson libcrypto) -lcivetweb -lpthread
done
