# Wrapper for CMake. Each target works from a clean checkout.
BUILD := build
JOBS := $(shell nproc)

.PHONY: all deps build check demo bench model sanitize fuzz soak days format lint test install clean

all: build

deps:
	@sh .ci/deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@sh .ci/run-tests $(BUILD)

format: deps
	@sh .ci/format

lint: build
	@sh .ci/lint $(BUILD)

check: build
	@sh .ci/format
	@sh .ci/lint $(BUILD)
	@sh .ci/run-tests $(BUILD)

demo: build
	@sh tests/demo.sh $(BUILD)

bench: build
	@sh tests/bench/run.sh $(BUILD)

model: deps
	@sh model/run.sh $(BUILD)

sanitize: deps
	@sh .ci/sanitize

fuzz: deps
	@sh tests/fuzz/run.sh

# SEEDS="1 2 3" SECONDS=8: random faults on real daemons, one plan for each seed;
# without SEEDS, all that have ever failed.
soak: build
	@SOAK_ALL=1 SOAK_SEEDS="$(SEEDS)" SOAK_SECONDS="$(SECONDS)" \
		$(BUILD)/tests/test_platform_soak

# BENCH=PROGRAM SITES="SITE...": the deployments in force, compared with the
# journal. Not part of CI.
days:
	@sh tests/days.sh "$(BENCH)" $(JOBS) $(SITES)

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf $(BUILD) build-*
