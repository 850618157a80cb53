#!/bin/sh
# Builds what the scripts of this review start, beside the build of the deploy
# file: stand-ins of workers, with that of the store of the project's tests.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
	g++ -std=c++17 -O1 -g -Itests -Ireview/standin-2 "$source" \
	    -o "target/review-2/$(basename "$source" .cc)" \
	    -lcivetweb -ljansson -lcrypto -ldl -pthread
done
