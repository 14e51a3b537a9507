# The commands of the project. Each works on a fresh checkout of a machine with Go, gcc, make and apt.

LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# SKIP is a regular expression of tests to skip; .ci/run sets it from KNOWN-RED.txt.
SKIP ?=
GO_TEST_FLAGS := -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)')

.PHONY: build demo test lint race smoke model fuzz soak compare generate fmt

build:
	go build -o bin/ ./cmd/...

demo:
	@./scripts/demo.sh

# compare offers the same load to each routing policy, with every entry and stand-in as a process.
# PRESET, SCENARIO, SEED, RATE, POLICIES and JSON=1 configure the run.
compare:
	@./scripts/compare.sh

# test runs every check; .ci/run calls it.
test: lint build model race smoke

lint:
	$(LINT) fmt --diff
	$(LINT) run --allow-parallel-runners ./...

race:
	go test $(GO_TEST_FLAGS) ./...

# smoke runs the demo with 3 s of load at a low rate.
smoke:
	@RATE=10 SECONDS_OF_LOAD=3 ./scripts/demo.sh

# model checks the specifications under model/ with Spin.
model:
	./scripts/model.sh

fmt:
	$(LINT) fmt

# generate regenerates the committed code of io/peer/peerpb; it needs protoc.
generate:
	./scripts/generate.sh

# fuzz runs each fuzz test for FUZZ_TIME.
FUZZ_TIME ?= 30s
fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./core/rules
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./io/config
	go test -run '^$$' -fuzz FuzzBody -fuzztime $(FUZZ_TIME) ./io/caller
	go test -run '^$$' -fuzz FuzzOrderOfEvents -fuzztime $(FUZZ_TIME) ./core/usage
	go test -run '^$$' -fuzz FuzzContent -fuzztime $(FUZZ_TIME) ./platform
	go test -run '^$$' -fuzz FuzzHead -fuzztime $(FUZZ_TIME) ./platform
	go test -run '^$$' -fuzz FuzzRequests -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x ./platform
	go test -run '^$$' -fuzz FuzzRecords -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x ./platform

# soak runs the long randomised tests; each prints its seed.
soak:
	CICADAVALVE_SOAK=1 go test -count=1 -timeout 60m -v -run Soak ./...
