# The whole workflow: demo, test, lint, matrix, bench, slopes.
MODULES := core entry lab stand wharfctl
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
PROGRAMS := entry lab stand wharfctl

.PHONY: all build demo test lint

all: build

build:
	mkdir -p bin
	for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	./hack/demo.sh

test:
	go test -race $(PACKAGES)

lint:
	test -z "$$(gofmt -l $(MODULES))"
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)
