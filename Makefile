# Targets:
#   make              build the two programs and the fake programs of the tests
#   make run          install dependencies, build, and run the example system
#   make check        install dependencies, lint, run all tests plain and SAN=1,
#                     and some under valgrind
#   make check-quick  build, and run all tests without sanitizers
#   make fuzz         run the fuzz targets with libFuzzer, FUZZ_SECONDS each
#   make bench        measure the overhead over a direct connection to a backend
#   make bench-mix    compare routing policies while the mix of requests changes
#   make format       format the sources with clang-format
#   make soak         run processes under faults, one seed after the other
#   make proto        generate the C code of the .proto files
#
# ARGS are the arguments of the script behind run, bench, bench-mix or soak. V=1
# prints the commands.
# SAN=1 builds with address and undefined-behaviour sanitizers into build/san.
# FUZZ=1 builds the fuzz targets with clang's libFuzzer into build/fuzz.

SHELL = /bin/bash
CC = gcc
CXX = g++
SAN ?=
FUZZ ?=
FUZZ_SECONDS ?= 60
BUILD = build/$(if $(FUZZ),fuzz,$(if $(SAN),san,plain))

PKGS = glib-2.0 jansson libcyaml yaml-0.1 libprotobuf-c libzmq libxxhash zlib
CPPFLAGS = -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -MMD -MP \
	$(addprefix -Ipackages/,$(addsuffix /include,$(PACKAGES))) \
	-Ipackages/connection/src -Ipackages/gateway/src -Itests/fakes -Iplatform \
	$(shell pkg-config --cflags $(PKGS))
WARN = -Wall -Wextra -Werror -Wpointer-arith -Wvla
OPT = -O2 -g -fno-omit-frame-pointer
SANFLAGS = $(if $(SAN),-fsanitize=address$(comma)undefined -fno-sanitize-recover=undefined)
comma := ,
ifneq ($(FUZZ),)
CC = clang
SANFLAGS = -fsanitize=fuzzer-no-link$(comma)address$(comma)undefined -fno-sanitize-recover=undefined
endif
CFLAGS = -std=gnu11 $(WARN) -Wshadow -Wstrict-prototypes -Wmissing-prototypes $(OPT) $(SANFLAGS)
CXXFLAGS = -std=c++17 $(WARN) $(OPT) $(SANFLAGS)
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lh2o-evloop -lssl -lcrypto \
	-lhttp_parser -llog4c -largtable2 -lm -lpthread

PACKAGES = core request connection version telemetry settings store control \
	upstream entry operators gateway
# Libraries in link order: each package may use those to the right of it.
LIBS = $(BUILD)/libks-platform.a $(addprefix $(BUILD)/libks-,$(addsuffix .a,gateway operators entry upstream control store settings telemetry version connection request core))

PROGRAMS = $(patsubst cli/%.c,$(BUILD)/%,$(wildcard cli/*.c))
FAKES = $(patsubst tests/fakes/%.c,$(BUILD)/%,$(wildcard tests/fakes/fake-*.c))
SOAKS = $(patsubst tests/soak/%.c,$(BUILD)/%,$(wildcard tests/soak/soak-*.c))
SOAK_COMMON = $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(wildcard tests/soak/soak-*.c),$(wildcard tests/soak/*.c)))
FAKE_COMMON = $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(wildcard tests/fakes/fake-*.c),$(wildcard tests/fakes/*.c)))
BENCHES = $(patsubst bench/%.c,$(BUILD)/%,$(wildcard bench/bench-*.c))
BENCH_COMMON = $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(wildcard bench/bench-*.c),$(wildcard bench/*.c)))

UNIT_SRCS = $(wildcard packages/*/tests/test-*.c platform/tests/test-*.c)
PROP_SRCS = $(wildcard packages/*/tests/prop-*.cpp)
UNIT_BINS = $(patsubst %.c,$(BUILD)/%,$(UNIT_SRCS))
PROP_BINS = $(patsubst %.cpp,$(BUILD)/%,$(PROP_SRCS))
FUZZ_SRCS = $(wildcard tests/fuzz/fuzz-*.c)
FUZZ_BINS = $(patsubst %.c,$(BUILD)/%,$(FUZZ_SRCS))
SYSTEM_TESTS = $(wildcard tests/system/test-*.sh)

C_SRCS = $(wildcard packages/*/src/*.c platform/*.c cli/*.c tests/fakes/*.c tests/fuzz/*.c tests/soak/*.c bench/*.c packages/*/tests/*.c platform/tests/*.c)
CXX_SRCS = $(wildcard packages/*/tests/*.cpp tests/*.cpp)
HDRS = $(wildcard packages/*/include/ks/*.h packages/*/src/*.h platform/*.h cli/*.h tests/fakes/*.h tests/fuzz/*.h tests/soak/*.h bench/*.h packages/*/tests/*.h platform/tests/*.h)
FORMAT_SRCS = $(filter-out %.pb-c.c %.pb-c.h,$(C_SRCS) $(CXX_SRCS) $(HDRS))
TIDY_SRCS = $(filter-out %.pb-c.c,$(C_SRCS))

.PHONY: all programs fakes tests setup run check check-quick unit props system \
	lint format-check tidy cppcheck format bench bench-mix fuzz soak proto clean
.SECONDARY:

all: programs fakes

programs: $(PROGRAMS)
fakes: $(FAKES) $(SOAKS)
tests: $(UNIT_BINS) $(PROP_BINS) $(FUZZ_BINS)

define package_template
$(BUILD)/libks-$(1).a: $$(patsubst %.c,$$(BUILD)/%.o,$$(wildcard packages/$(1)/src/*.c))
	@rm -f $$@
	$$(Q)ar rcs $$@ $$^
endef
$(BUILD)/libks-platform.a: $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
	@rm -f $@
	$(Q)ar rcs $@ $^

$(foreach p,$(PACKAGES),$(eval $(call package_template,$(p))))

Q = $(if $(V),,@)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $<"
	$(Q)$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

$(BUILD)/%.pb-c.o: CFLAGS += -Wno-unused-parameter

$(BUILD)/%.o: %.cpp
	@mkdir -p $(@D)
	@echo "CXX $<"
	$(Q)$(CXX) $(CPPFLAGS) $(CXXFLAGS) -c -o $@ $<

$(PROGRAMS): $(BUILD)/%: $(BUILD)/cli/%.o $(LIBS)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/fake-%: $(BUILD)/tests/fakes/fake-%.o $(FAKE_COMMON) $(LIBS)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/soak-%: $(BUILD)/tests/soak/soak-%.o $(SOAK_COMMON) $(FAKE_COMMON) $(LIBS)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bench-%: $(BUILD)/bench/bench-%.o $(BENCH_COMMON) $(LIBS)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# Unit tests may use the objects that the fake programs share.
$(BUILD)/packages/%: $(BUILD)/packages/%.o $(FAKE_COMMON) $(LIBS)
	$(Q)$(CXX) $(CXXFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) -lrapidcheck $(LDLIBS)

$(BUILD)/platform/tests/%: $(BUILD)/platform/tests/%.o $(FAKE_COMMON) $(LIBS)
	$(Q)$(CXX) $(CXXFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

# This test covers these objects of bench-load.
$(BUILD)/packages/operators/tests/test-load: $(patsubst %,$(BUILD)/bench/%.o,load_request load_run load_verify)

# Without FUZZ=1 a fuzz target is a test: fuzz_driver.o replaces libFuzzer and
# runs the corpus and a fixed number of mutations.
$(BUILD)/tests/fuzz/fuzz-%: $(BUILD)/tests/fuzz/fuzz-%.o \
		$(if $(FUZZ),,$(BUILD)/tests/fuzz/fuzz_driver.o) $(LIBS)
	$(Q)$(CC) $(CFLAGS) $(if $(FUZZ),-fsanitize=fuzzer) -o $@ $^ $(LDLIBS)

setup:
	@.ci/setup

run: setup
	@$(MAKE) --no-print-directory -j all $(BUILD)/bench-load
	@tests/run-example.sh $(ARGS)

# An entry of KNOWN-RED.txt lets exactly one test fail; see tests/run.sh.
check: setup
	@$(MAKE) --no-print-directory lint
	@$(MAKE) --no-print-directory -j all tests benches
	@$(MAKE) --no-print-directory -j SAN=1 all tests benches
	@tests/run.sh plain san memcheck

check-quick:
	@$(MAKE) --no-print-directory -j all tests benches
	@tests/run.sh plain

.PHONY: benches
benches: $(BENCHES)

lint: format-check tidy cppcheck

format-check:
	$(Q)clang-format --dry-run -Werror $(FORMAT_SRCS)

format:
	$(Q)clang-format -i $(FORMAT_SRCS)

# One stamp file per source, so that clang-tidy runs on changed files only.
TIDY_STAMPS = $(patsubst %.c,build/tidy/%.stamp,$(TIDY_SRCS))
build/tidy/%.stamp: %.c $(HDRS) .clang-tidy
	@mkdir -p $(@D)
	$(Q)clang-tidy --quiet $< -- $(filter-out -MMD -MP,$(CPPFLAGS)) -std=gnu11 2>/dev/null || \
		{ clang-tidy --quiet $< -- $(filter-out -MMD -MP,$(CPPFLAGS)) -std=gnu11; exit 1; }
	@touch $@

tidy:
	@$(MAKE) --no-print-directory -j $(shell nproc) tidy-stamps
.PHONY: tidy-stamps
tidy-stamps: $(TIDY_STAMPS)

# The unit tests are left out: cppcheck 2.10 cannot parse the assertion macros
# of GLib.
cppcheck:
	$(Q)cppcheck --quiet --error-exitcode=1 --inline-suppr -j 4 \
		--enable=warning,performance,portability --suppress=missingInclude \
		--suppress=normalCheckLevelMaxBranches --suppress=unknownMacro \
		--library=gtk $(addprefix -Ipackages/,$(addsuffix /include,$(PACKAGES))) \
		$(filter-out $(wildcard packages/*/tests/*.c),$(TIDY_SRCS))

bench: setup
	@$(MAKE) --no-print-directory -j all benches
	@bench/run-bench.sh $(ARGS)

bench-mix: setup
	@$(MAKE) --no-print-directory -j all benches
	@bench/run-mix.sh $(ARGS)

# New corpus inputs go to build/fuzz/corpus, inputs that fail to build/fuzz.
fuzz:
	@.ci/setup clang libclang-rt-14-dev
	@$(MAKE) --no-print-directory -j FUZZ=1 fuzz-targets
	@tests/fuzz/run.sh $(FUZZ_SECONDS)
.PHONY: fuzz-targets
fuzz-targets: $(FUZZ_BINS)

soak: setup
	@$(MAKE) --no-print-directory -j all
	@tests/soak/run.sh $(ARGS)

proto:
	protoc-c --c_out=packages/connection/src --proto_path=packages/connection packages/connection/link.proto
	protoc-c --c_out=packages/gateway/src --proto_path=packages/gateway packages/gateway/peer.proto

clean:
	rm -rf build

-include $(shell find build target -name '*.d' 2>/dev/null)
