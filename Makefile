GO ?= go
TOOLS := $(CURDIR)/bin
LINT := $(TOOLS)/golangci-lint
LINT_VERSION := v2.15.0
MODULES := . ./cmd ./config ./control ./decide ./entry ./platform ./relay ./standin

# The commit that runs in production, and the program that is built from it.
PRODUCTION ?= $(shell cat deploy/production)
PRODUCTION_BINARY ?= $(TOOLS)/sequoia-edge-production

.PHONY: run test build production fmt lint stats spec capacity proto

# Runs a complete deployment in one process and prints sample calls.
run:
	$(GO) run ./cmd/sequoia-dev --log-level warn

# Runs all tests. Those of what callers send bound the memory of a process, so they run afterwards, alone and
# without the race detector.
test:
	status=0; $(GO) test -race -timeout 30m work || status=$$?; \
		$(GO) test -tags callerinput -count=1 -p 1 -timeout 20m -run '^TestCallerInput$$' ./cmd/sequoia-edge || status=$$?; \
		exit $$status

build:
	$(GO) build -o bin/ ./cmd/...

# Builds the entry that runs in production from the repository's history.
production:
	@git cat-file -e $(PRODUCTION) || { echo "commit $(PRODUCTION) is not in this clone; fetch its history"; exit 1; }
	dir=$$(mktemp -d) && git archive $(PRODUCTION) | tar -x -C $$dir && \
		(cd $$dir && $(GO) build -buildvcs=false -o $(PRODUCTION_BINARY) ./cmd/sequoia-edge) && rm -r $$dir

fmt:
	@test -z "$$(gofmt -l $(MODULES) | tee /dev/stderr)"

$(LINT):
	GOBIN=$(TOOLS) GOWORK=off $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(LINT)
	$(LINT) run --allow-parallel-runners $(addsuffix /...,$(MODULES))

# Runs the benchmarks whose results docs/CAPACITY.md reports.
capacity:
	$(GO) test ./decide/gossiper -run xxx -bench Traffic -benchtime 1x
	$(GO) test ./decide/sharer -run xxx -bench Division
	$(GO) test ./entry/recorder -run xxx -bench Head
	$(GO) test ./cmd/scenarios -run xxx -bench 'Path|Journal' -benchtime 1x
	$(GO) test ./cmd/scenarios -run xxx -bench ConfigSpread -benchtime 10x

# Checks the Promela models; installs spin if it is missing.
spec:
	spec/check

# Prints the percentage of test code, and the files of more than 400 lines.
stats:
	@git ls-files '*.go' | grep -v '\.pb\.go$$' | xargs wc -l | awk '\
	$$2 ~ /_test\.go$$/ {t += $$1} $$2 != "total" {a += $$1} $$2 != "total" && $$1 > 400 {print "large: " $$2 " " $$1} \
	END {printf "tests %d of %d lines of Go, %.0f%%\n", t, a, 100*t/a}'

# Regenerates the committed protobuf and gRPC code; needs protoc.
proto:
	GOBIN=$(TOOLS) GOWORK=off $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(TOOLS) GOWORK=off $(GO) install google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2
	PATH=$(TOOLS):$$PATH protoc -I entry/peerpb --go_out=entry/peerpb --go_opt=paths=source_relative \
		--go-grpc_out=entry/peerpb --go-grpc_opt=paths=source_relative entry/peerpb/peer.proto
	PATH=$(TOOLS):$$PATH protoc -I relay/relaypb --go_out=relay/relaypb --go_opt=paths=source_relative \
		--go-grpc_out=relay/relaypb --go-grpc_opt=paths=source_relative relay/relaypb/relay.proto
