# The commands of the project. On a machine with Go, gcc, make and apt, each works as the first one.

LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# SKIP is a regular expression of the tests to pass over; .ci/run takes it from KNOWN-RED.txt.
SKIP ?=
GO_TEST_FLAGS := -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)')

.PHONY: build demo test lint race smoke model fuzz soak compare generate fmt

build:
	go build -o bin/ ./cmd/...

demo:
	@./scripts/demo.sh

# compare offers the same load to each routing policy, each entry and stand-in a process;
# PRESET, SCENARIO, SEED, RATE, POLICIES and JSON=1 set the run.
compare:
	@./scripts/compare.sh

# test runs every check; .ci/run calls it.
test: lint build model race smoke

lint:
	$(LINT) fmt --diff
	$(LINT) run --allow-parallel-runners ./...

race:
	go test $(GO_TEST_FLAGS) ./...

# smoke runs the demonstration for a few seconds at a low rate.
smoke:
	@RATE=10 SECONDS_OF_LOAD=3 ./scripts/demo.sh

# model checks the specifications under model/ with Spin.
model:
	./scripts/model.sh

fmt:
	$(LINT) fmt

# generate makes the committed code of io/peer/peerpb anew; it needs protoc.
generate:
	./scripts/generate.sh

# fuzz tries random rules, settings and bodies for FUZZ_TIME each.
FUZZ_TIME ?= 30s
fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./core/rules
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./io/config
	go test -run '^$$' -fuzz FuzzBody -fuzztime $(FUZZ_TIME) ./io/caller
	go test -run '^$$' -fuzz FuzzContent -fuzztime $(FUZZ_TIME) ./platform
	go test -run '^$$' -fuzz FuzzHead -fuzztime $(FUZZ_TIME) ./platform

# soak runs the long histories; each prints its seed.
soak:
	CICADAVALVE_SOAK=1 go test -count=1 -timeout 60m -v -run Soak ./...
