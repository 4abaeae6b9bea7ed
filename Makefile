# Targets for building, testing and measuring radishramp.

TOOLS := $(CURDIR)/.bin
GOLANGCI_LINT_VERSION := v2.15.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
GOPLS_VERSION := v0.23.0

SEED ?= 0
COUNT ?= 1000
SECONDS ?= 4

.PHONY: setup build generate gopls demo bench bound slopes measure test lint model promises fuzz soak

setup: ## Fetch the libraries and build the linter.
	go mod download
	test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

build: ## Build the binary and the stand-ins.
	go build -o bin/ . ./tools/standin ./tools/demo ./tools/bench

generate: ## Generate the protobuf code again; the result is committed.
	test -x $(TOOLS)/buf || GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	test -x $(TOOLS)/protoc-gen-go || GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	PATH=$(TOOLS):$$PATH buf generate

gopls: ## Build gopls, which renames an identifier with every use: .bin/gopls rename -w FILE:#OFFSET NEW
	test -x $(TOOLS)/gopls || GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

demo: build ## Run the whole path as separate processes and send requests through it.
	tools/demo/run.sh

test: ## Run the tests with the race detector.
	tools/test.sh

model: ## Check the specification exhaustively, and that each of its mutants is found.
	tools/model.sh

promises: ## Run one named proof for each promise.
	tools/promises.sh

fuzz: ## Play COUNT drawn scripts from SEED (0: a new one each time) against the claims, the lease, the rules and whole VMs.
	go test -count=1 -v -run UnderFaults ./pkg/radishclaim ./pkg/radishlease ./pkg/radishconfig -rapid.seed=$(SEED) -rapid.checks=$(COUNT)
	go test -count=1 -v -timeout 60m -run UnderFaults ./internal/radishserve -rapid.seed=$(SEED) -rapid.checks=$(COUNT)
	for target in ./pkg/radishrule:FuzzParse ./internal/radishsetting:FuzzParse ./internal/radishentry:FuzzRequest ./internal/radishrelay:FuzzReadEvent ./internal/radishcheck:FuzzCheck ./internal/radishserve:FuzzPeerFrame \
		./platform/radishadapter:FuzzParseSite ./platform/radishadapter:FuzzRecords ./platform/radishadapter:FuzzDecodeCall; do go test -run XXX -fuzz "^$${target#*:}$$" -fuzztime 10s "$${target%:*}" || exit 1; done

soak: ## Play COUNT seeds of drawn faults from SEED (0: new ones) against entry VMs as processes, SECONDS of faults each.
	go test -count=1 -v -timeout 120m -run '^TestSoak(OfLeavingTargets)?$$' ./e2e -soak.first=$(SEED) -soak.seeds=$(COUNT) -soak.seconds=$(SECONDS)

lint: ## Check format and style.
	test -x $(TOOLS)/golangci-lint || $(MAKE) setup
	$(TOOLS)/golangci-lint fmt --diff
	$(TOOLS)/golangci-lint run ./...

bench: build ## Measure what an entry VM adds to a four-stage request.
	tools/bench/run.sh

bound: ## Print the most that any policy could earn from the example deployments, and what binds.
	for file in examples/bound/*.json; do echo "$$file"; go run ./tools/bound "$$file" || exit 1; done

slopes: ## Measure how control grows with size and extrapolate it.
	go run ./tools/slopes

measure: ## Compare the policies in scenarios of load and faults; JSON lines, and a table on standard error.
	@go test -c -o bin/measure.test ./internal/radishserve
	@cd internal/radishserve && ../../bin/measure.test -test.run '^TestMeasure$$' -measure.seeds=5 | grep '^{'
