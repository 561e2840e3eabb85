# Every job of a maintainer. `make help` lists them.
OUT  := out
BIN  := $(OUT)/bin
PROGRAMS := entry agent firford fakeplatform fakeengine fakenetwork bench
# Generated code follows the style of its generator. revive takes exact paths only.
GENERATED = $(shell git ls-files --cached --others --exclude-standard "*.pb.go")
GO_FILES = $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '\.pb\.go$$')

# No job is named after a file that it makes.
.PHONY: help build demo soak soak_routed bench_emulation bench_burst compare_bursts bench_requests bench_config bench_control bench_hearing test format format-check lint vet unit race clean

help: ## List the jobs
	@grep -E '^[a-z_-]+:.*##' Makefile | sed 's/:.*##/:/'

build: ## Build all programs into out/bin
	@mkdir -p $(BIN)
	@for program in $(PROGRAMS); do go build -o $(BIN)/$$program firford/cmd/$$program || exit 1; done

test: format-check lint vet race ## Formatter, linter, vet, race detector and all tests

format: ## Rewrite all files in the project's format
	@go tool gofumpt -w $(GO_FILES)

format-check:
	@unformatted=$$(go tool gofumpt -l $(GO_FILES)); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

lint: ## Run the linter with its default rules
	@go tool revive -config revive.toml -set_exit_status $(GENERATED:%=-exclude %) ./cmd/... ./lib/... ./platform/...

vet:
	@go vet work

race: ## All tests under the race detector, with fixed seeds
	@scripts/race_tests.sh

unit: ## All tests without the race detector
	@go test work

demo: build ## Push a version to a small fleet on stand-ins while callers keep asking: KILL
	@KILL=$(KILL) scripts/demo.sh

bench_burst: ## Measure a version's distribution: HOSTS, FAULTS, SEED, W, POLICY, STRATEGIES
	@HOSTS=$(HOSTS) FAULTS=$(FAULTS) SEED=$(SEED) W=$(W) POLICY=$(POLICY) STRATEGIES="$(STRATEGIES)" scripts/bench_burst.sh

soak: build ## Long run with faults: SECONDS, SEED
	@SOAK_SECONDS=$(or $(SECONDS),600) SEED=$(or $(SEED),7) scripts/soak.sh

soak_routed: ## Long run of the routed programs on the platform's stand-ins: SECONDS, SEED, SEEDS
	@SOAK_SECONDS=$(or $(SECONDS),60) SOAK_SEED=$(or $(SEED),1) SOAK_SEEDS=$(or $(SEEDS),1) go test -count=1 -timeout 2h -v firford/platform/soak

bench_emulation: build ## Compare policies of placing, waiting and refusing in simulated time: SEEDS
	@$(BIN)/bench emulation --seeds $(or $(SEEDS),3)

bench_requests: build ## Measure the request path: policies, goodput, added latency, requests per second
	@scripts/bench_requests.sh

bench_config: build ## Time until configuration changes are in force, and what they cost
	@scripts/bench_config.sh

bench_control: build ## What idle entries and agents cost, by their numbers: SIZES
	@scripts/bench_control.sh

bench_hearing: build ## Time until all entries hear of a leaving or crashed server, and what the datagrams cost
	@$(BIN)/bench hearing --out $(OUT)

clean: ## Remove everything that the build made
	@rm -rf $(OUT)
