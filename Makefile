# All steps of the workflow: demo, test, lint, matrix, fuzz, bench, slopes, soak, days.
MODULES := core entry lab platform stand wharfctl
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
PROGRAMS := entry lab platform stand wharfctl
SKIP :=
FUZZ_TIME := 20s

.PHONY: all bench build days demo fuzz lint matrix quick-bench slopes soak test

all: build

build:
	mkdir -p bin
	for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	./hack/demo.sh

# Packages whose tests use testing/synctest run with -cpu 1: Go 1.26's race detector sometimes crashes when two threads
# run timers of one synctest bubble at the same time. The fault matrix is split into parts that run in parallel.
VIRTUAL := ./core/audit ./core/store ./entry/block ./entry/board ./entry/feed ./entry/filter ./entry/fleet ./entry/merge ./entry/outbox ./entry/picker ./entry/queue ./entry/recall ./entry/shift ./entry/stop ./entry/internal/gate ./platform/stand
# Package platform/internal/cmds runs whole instances and waits for most of its six minutes; beside other work that comes near
# the ten minutes that go test allows a package by default.
TEST_TIMEOUT := 20m
PROOF := ./entry/internal/proof
PARTS := TestGenerationMatrix/^single TestGenerationMatrix/^twice TestGenerationMatrix/^pair TestOrderMatrix/^single TestOrderMatrix/^twice TestOrderMatrix/^pair

test:
	mkdir -p bin
	go test -race -timeout $(TEST_TIMEOUT) $(if $(SKIP),-skip '$(SKIP)') $(filter-out $(VIRTUAL) $(PROOF),$(shell go list -f '{{.Dir}}' $(PACKAGES) | sed "s#^$(CURDIR)#.#"))
	go test -race -timeout $(TEST_TIMEOUT) -cpu 1 $(if $(SKIP),-skip '$(SKIP)') $(VIRTUAL)
	go test -race -c -o bin/proof.test $(PROOF)
	cd $(PROOF) && (printf -- '-test.run=%s\n' $(PARTS); echo '-test.skip=TestGenerationMatrix|TestOrderMatrix$(if $(SKIP),|$(SKIP))') | \
		xargs -P 7 -I {} $(CURDIR)/bin/proof.test -test.cpu=1 -test.timeout=9m $(if $(SKIP),'-test.skip=$(SKIP)') {}

lint:
	test -z "$$(gofmt -l $(MODULES))"
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

# Runs the demo with faults of real processes, then every cell of the fault matrix, and prints the matrix as a table;
# make test runs a fixed sample of the cells. Then runs the spread of changes in fleets of up to 410 instances.
matrix: build
	DRILL=true ./hack/demo.sh
	cd entry/internal/proof && go test -count=1 -timeout 30m -matrix-full
	go test -count=1 -cpu 1 -timeout 30m -run TestSpread ./entry/feed -args -spread-full

# Runs each fuzz target for FUZZ_TIME; make test runs only the committed inputs.
fuzz:
	go test -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./core/sheet
	go test -fuzz FuzzOpen -fuzztime $(FUZZ_TIME) ./core/cursor
	go test -fuzz FuzzDecode -fuzztime $(FUZZ_TIME) ./core/wire
	go test -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./core/decl
	go test -fuzz FuzzItems -fuzztime $(FUZZ_TIME) ./core/loose
	go test -fuzz FuzzComplete -fuzztime $(FUZZ_TIME) ./entry/internal/front

# Compares the resume latency and the extra engine work of each recovery policy with those of a plain restart, in ROUNDS
# rounds (5 by default, about nine minutes), then runs the Go benchmarks. quick-bench runs one round, in about two
# minutes.
quick-bench:
	$(MAKE) bench ROUNDS=1

bench: build
	./hack/bench.sh
	go test -run '^$$' -bench . -benchmem ./core/cursor ./entry/internal/relay ./platform/internal/edge

# Measures the resource use of instances at several sizes and extrapolates it to the design size.
slopes: build
	./hack/slopes.sh

# Runs real processes under random faults, for SEEDS seeds from SEED on, one after the other.
SEED := 1
SEEDS := 10
soak: build
	bin/lab soak --seed $(SEED) --seeds $(SEEDS)

# Runs the fault scenarios in deploy/days with the users' bench: make days BENCH=… SITE=….
days:
	BENCH=$(BENCH) SITE=$(SITE) ./hack/days.sh
