BUILD := build/release
JOBS ?= 8
SEED ?= 1
POLICY ?= hawthornslip

.PHONY: all setup build test sanitize run bench matrix format format-check lint install clean

all: build

setup:
	@tools/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >&2
	@cmake --build $(BUILD) -j $(JOBS) >&2

test: build sanitize
	ctest --test-dir $(BUILD) --output-on-failure

# Runs the tests of the core and the decision modules under both sanitizers.
sanitize: setup
	@for it in address thread; do \
	    cmake -S . -B build/$$it -G Ninja -DHAWTHORNSLIP_DAEMON=OFF -DHAWTHORNSLIP_SANITIZE=$$it >&2 && \
	    cmake --build build/$$it -j $(JOBS) >&2 && \
	    ctest --test-dir build/$$it --output-on-failure || exit 1; \
	done

# Builds only what the example needs.
run: setup
	@cmake -S . -B $(BUILD) -G Ninja >&2
	@cmake --build $(BUILD) -j $(JOBS) --target hawthornslip standins bench_runner >&2
	@tools/run_example.sh $(BUILD)

bench: build
	@$(BUILD)/bench_runner --scenario $(SCENARIO) --seed $(SEED) --policy $(POLICY)

matrix: build
	@tools/matrix.sh $(BUILD)

# Builds the program for the users' platform as deploy/system.toml does.
.PHONY: platform
platform: setup
	@cmake -S . -B build/platform -G Ninja -DCMAKE_BUILD_TYPE=Release -DHAWTHORNSLIP_GATEWAY_ONLY=ON >&2
	@cmake --build build/platform -j $(JOBS) --target hawthornslip >&2
	@build/platform/hawthornslip gateway --help >/dev/null

# Plays seeds of the soak of real processes.
.PHONY: soak
FIRST ?= $(SEED)
LAST ?= $(FIRST)
LENGTH ?= 14
soak: build
	@tools/soak.sh $(BUILD) $(FIRST) $(LAST) 3 --length $(LENGTH)

# Lets crowds of misbehaving connections at gateway processes, one at a time.
.PHONY: crowds
crowds: build
	@tools/crowds.sh $(BUILD)

# Lets worker processes end in many ways as they begin to answer a prompt.
.PHONY: crashes
crashes: build
	@tools/crashes.sh $(BUILD) 4 --seed $(SEED)

format:
	@tools/format.sh

format-check: setup
	@tools/format.sh --check

lint: build
	@JOBS=$(JOBS) tools/lint.sh

install: build
	cmake --install $(BUILD) --prefix $(or $(PREFIX),/usr/local)

clean:
	rm -rf build

.PHONY: fuzz
# Searches each parser of outside bytes for a minute.
fuzz: setup
	@JOBS=$(JOBS) tools/fuzz.sh --seconds 60
