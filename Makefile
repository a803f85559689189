# The whole workflow: demo, test, lint, matrix, fuzz, bench, slopes, soak, days.
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

# Tests in virtual time get one processor each: Go 1.26's race detector crashes now and then when two threads
# run timers of one synctest bubble at once. The matrix is cut into parts that run beside each other.
VIRTUAL := ./core/audit ./core/store ./entry/feed ./entry/filter ./entry/fleet ./entry/picker ./entry/internal/gate
PROOF := ./entry/internal/proof
PARTS := TestGenerationMatrix/^single TestGenerationMatrix/^twice TestGenerationMatrix/^pair TestOrderMatrix/^single TestOrderMatrix/^twice TestOrderMatrix/^pair

test:
	mkdir -p bin
	go test -race $(if $(SKIP),-skip '$(SKIP)') $(filter-out $(VIRTUAL) $(PROOF),$(shell go list -f '{{.Dir}}' $(PACKAGES) | sed "s#^$(CURDIR)#.#"))
	go test -race -cpu 1 $(if $(SKIP),-skip '$(SKIP)') $(VIRTUAL)
	go test -race -c -o bin/proof.test $(PROOF)
	cd $(PROOF) && (printf -- '-test.run=%s\n' $(PARTS); echo '-test.skip=TestGenerationMatrix|TestOrderMatrix$(if $(SKIP),|$(SKIP))') | \
		xargs -P 7 -I {} $(CURDIR)/bin/proof.test -test.cpu=1 -test.timeout=9m $(if $(SKIP),'-test.skip=$(SKIP)') {}

lint:
	test -z "$$(gofmt -l $(MODULES))"
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

# Every cell of the fault matrix, with its table, then real processes with real signals; test runs a fixed sample of the cells.
matrix: build
	DRILL=true ./hack/demo.sh
	cd entry/internal/proof && go test -count=1 -timeout 30m -matrix-full

# Every fuzz target for a while; test runs their committed seeds.
fuzz:
	go test -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./core/sheet
	go test -fuzz FuzzOpen -fuzztime $(FUZZ_TIME) ./core/token
	go test -fuzz FuzzDecode -fuzztime $(FUZZ_TIME) ./core/wire
	go test -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./core/decl
	go test -fuzz FuzzComplete -fuzztime $(FUZZ_TIME) ./entry/internal/front

# Resume latency and extra engine work for each policy beside the plain restart; ROUNDS rounds each (5 unless set:
# some nine minutes). quick-bench plays one round and the benchmarks of single steps, in about two.
quick-bench:
	$(MAKE) bench ROUNDS=1

bench: build
	./hack/bench.sh
	go test -run '^$$' -bench . -benchmem ./core/token ./entry/internal/relay ./platform/internal/edge

# What each role costs at several sizes, fitted to the size to design for.
slopes: build
	./hack/slopes.sh

# Real processes under random faults, one seed after the other; SEED and SEEDS choose them.
SEED := 1
SEEDS := 10
soak: build
	bin/lab soak --seed $(SEED) --seeds $(SEEDS)

# Our own days on the users' bench: make days BENCH=… SITE=….
days:
	BENCH=$(BENCH) SITE=$(SITE) ./hack/days.sh
