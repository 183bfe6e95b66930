# Targets: deps, all, demo, check, format, bench, bench-NAME, model, soak,
# fleet-soak, regression, clean.
# See README.md for the two commands that a newcomer needs.

CC       = gcc
CXX      = g++
FUZZ_CC  = clang
PACKAGES = libuv libprotobuf-c glib-2.0 libmicrohttpd jansson libcurl \
           libxxhash zlib
DEBS     = libuv1-dev libprotobuf-c-dev protobuf-c-compiler \
           libargtable2-dev libglib2.0-dev libcmocka-dev librapidcheck-dev \
           libmicrohttpd-dev libjansson-dev libcurl4-openssl-dev \
           libxxhash-dev zlib1g-dev libclang-rt-14-dev libssl-dev mandoc \
           pkg-config clang clang-tidy clang-format cppcheck gcc g++ make \
           python3

JOBS ?= $(shell nproc)
# A top-level make without -j builds on every core; sub-makes share its jobs.
ifeq ($(MAKELEVEL)$(findstring -j,$(MAKEFLAGS)),0)
MAKEFLAGS += -j$(JOBS)
endif
B     = build
CFLAGS   = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wstrict-prototypes \
           -Wmissing-prototypes -Wshadow -Wpointer-arith -D_GNU_SOURCE
CXXFLAGS = -std=gnu++17 -O1 -g -Wall -Wextra -Werror
CPPFLAGS = -Isrc -Iplatform -Imodel $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
LDLIBS   = $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -largtable2 \
           -lcrypto -lpthread -lm

LIB_SRC  = $(wildcard src/*/*.c)
PLATFORM_SRC = $(wildcard platform/*.c)
PLATFORM_OBJ = $(PLATFORM_SRC:%.c=$(B)/%.o)
PLATFORM_LIB = $(filter-out %/main.o,$(PLATFORM_OBJ))
LIB_OBJ  = $(LIB_SRC:%.c=$(B)/%.o)
BIN      = $(B)/parsleyspur
LIB      = $(B)/libparsleyspur.a

STANDIN_LIB_SRC = $(wildcard tests/stand-ins/lib_*.c)
STANDIN_SRC = $(filter-out $(STANDIN_LIB_SRC),$(wildcard tests/stand-ins/*.c))
UNIT_SRC  = $(wildcard tests/unit/test_*.c)
PROP_SRC  = $(wildcard tests/property/prop_*.cc)
FUZZ_SRC  = $(wildcard tests/fuzz/fuzz_*.c)
BENCH_SRC = $(wildcard bench/bench_*.c)

STANDINS = $(STANDIN_SRC:%.c=$(B)/%)
UNITS    = $(UNIT_SRC:%.c=$(B)/%)
PROPS    = $(PROP_SRC:%.cc=$(B)/%)
FUZZERS  = $(FUZZ_SRC:%.c=$(B)/%)
BENCHES  = $(BENCH_SRC:%.c=$(B)/%)

C_FILES  = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*/*.[ch] \
           platform/*.[ch] model/*.[ch] \
           tests/*/*.[ch] tests/*/*.cc bench/*.[ch]))
TIDY_FILES = $(filter-out tests/fuzz/%,$(filter %.c,$(C_FILES)))

all: $(BIN) $(STANDINS)

deps:
	@bash tools/deps.sh $(DEBS)

$(BIN): $(PLATFORM_OBJ) $(LIB)
	$(CC) -o $@ $^ $(LDLIBS)

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(B)/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -Wno-unused-parameter -c -o $@ $<

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

STANDIN_LIB_OBJ = $(STANDIN_LIB_SRC:%.c=$(B)/%.o)

# Stand-ins of the platform's side need its codec; the linker takes from the
# archive what a program asks for.
PLATFORM_AR = $(B)/libplatform.a

$(PLATFORM_AR): $(PLATFORM_LIB)
	@rm -f $@
	ar rcs $@ $^

$(STANDINS): $(B)/%: $(B)/%.o $(STANDIN_LIB_OBJ) $(PLATFORM_AR) $(LIB)
	$(CC) -o $@ $^ $(LDLIBS)

# make model PATTERN=burst SEED=7 MORE="--size grown --plot build"
MODEL     = $(B)/model/model
MODEL_OBJ = $(patsubst %.c,$(B)/%.o,$(wildcard model/*.c))

$(B)/tests/unit/test_platform: $(PLATFORM_LIB)
$(B)/tests/unit/test_model $(B)/tests/unit/test_model_link: \
    $(filter-out %/main.o,$(MODEL_OBJ))

$(UNITS): $(B)/%: $(B)/%.o $(LIB)
	$(CC) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS) -lcmocka

$(BENCHES): $(B)/%: $(B)/%.o $(LIB)
	$(CC) -o $@ $^ $(LDLIBS)

$(PROPS): $(B)/%: %.cc $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -o $@ $< $(LIB) -lrapidcheck \
	    $(LDLIBS)

$(FUZZERS): $(B)/%: %.c $(LIB_SRC)
	@mkdir -p $(@D)
	$(FUZZ_CC) $(CPPFLAGS) -g -O1 -fsanitize=fuzzer,address,undefined \
	    -D_GNU_SOURCE -o $@ $< $(wildcard src/edge/geneve*.c \
	    src/base/*.c) $(LDLIBS)

# The inner protocol: needs protobuf-c-compiler; the result is committed.
proto:
	for folder in src/*/; do \
	    ls $$folder*.proto >/dev/null 2>&1 || continue; \
	    (cd $$folder && protoc-c --c_out=. *.proto); done

format:
	clang-format -i $(C_FILES)

check-format:
	clang-format --dry-run -Werror $(C_FILES)

# One stamp per file, so that a second run lints only what has changed.
TIDY_STAMPS = $(TIDY_FILES:%=$(B)/lint/%.tidy)

$(B)/lint/%.tidy: % .clang-tidy $(B)/%.lint-deps
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(CPPFLAGS) -D_GNU_SOURCE -std=gnu11 \
	    2>$@.err || { cat $@.err; exit 1; }
	@touch $@

$(B)/%.lint-deps: %
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) -D_GNU_SOURCE -MM -MP -MT $(B)/lint/$<.tidy \
	    -MF $(B)/$<.lint.d $< && touch $@

check-lint: $(TIDY_STAMPS)
	cppcheck --quiet --error-exitcode=1 --inline-suppr \
	    --enable=warning,portability --std=c11 -j $(JOBS) -Isrc \
	    --suppress=missingIncludeSystem $(filter %.c,$(C_FILES))
	@bash tools/lint-house.sh $(C_FILES)
	@for page in man/*.[1-8]; do \
	    [ -e "$$page" ] || continue; \
	    mandoc -T lint -W warning "$$page" || exit 1; done

check-build: all $(MODEL) $(UNITS) $(PROPS) $(FUZZERS) $(BENCHES)

check: deps
	+$(MAKE) --no-print-directory check-build
	+$(MAKE) --no-print-directory check-format check-lint
	bash tools/run-tests.sh $(UNITS) $(PROPS) $(FUZZERS) tests/script

bench: $(BENCHES) all
	@bash tools/run-bench.sh $(BENCHES)

bench-%: $(B)/bench/bench_% all
	@$<

demo: deps
	+$(MAKE) --no-print-directory all
	@bash tools/demo.sh

PATTERN ?= all

$(MODEL): $(MODEL_OBJ) $(LIB)
	$(CC) -o $@ $^ $(LDLIBS)

model: $(MODEL)
	@$(MODEL) $(PATTERN) --seed $(SEED) $(MORE)

SEED ?= 1
MINUTES ?= 10
soak: all
	@bash tools/soak.sh $(SEED) $(MINUTES)

SECONDS ?= 60
fleet-soak: all
	@python3 tests/soak/fleet_soak.py $(SEED) $(SECONDS)

# Outside CI: make regression BENCH=.../bin/fleetbench SITES=.../system
regression:
	@BENCH="$(BENCH)" SITES="$(SITES)" bash tools/regression.sh

clean:
	rm -rf $(B)

-include $(shell find $(B) -name '*.d' 2>/dev/null)

.PHONY: all deps proto format check-format check-lint check-build check \
        bench demo model soak fleet-soak regression clean
.SECONDARY:
