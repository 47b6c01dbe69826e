.PHONY: bench build check test demo matrix capacity soak platform-score platform-hunt platform-compare
build:
	go build -o bin/ ./cmd/...
check:
	@test -z "$$(gofmt -l cmd examples pkg platform)" || { gofmt -l cmd examples pkg platform; exit 1; }
	go vet ./...
	go tool staticcheck ./...
test:
	bash scripts/test.sh

bench:
	go run ./cmd/hibiscuscross-bench policies
	go run ./cmd/hibiscuscross-bench path
matrix:
	go run ./cmd/hibiscuscross-matrix --seeds 2 --pairs 100
demo:
	bash scripts/demo.sh
capacity:
	go run ./cmd/hibiscuscross-capacity
soak:
	go build -o target/ ./cmd/hibiscuscrossd ./cmd/hibiscuscross-soak
	target/hibiscuscross-soak --seeds 10 --parallel 3
# The users' bench lies beside the repository where it is there at all. SITES are the deployments of the regression runs.
BENCH = ../given/kit/more/system
FLEETBENCH = $(BENCH)/more/bench-d17393/bin/fleetbench
SITES = large/vanstops-large further/traitvif-easels further-grown/traitvif-easels-grown
platform-score platform-hunt:
	@if [ ! -x $(FLEETBENCH) ]; then echo "the users' bench is not here; nothing was played"; else \
	for site in $(SITES); do \
	$(FLEETBENCH) $(if $(filter platform-hunt,$@),hunt,score) $(BENCH)/$$site.toml --why "make $@" || exit 1; done; fi
# Plays the days of SITES with two commits and prints the differences: make platform-compare BASE=main CHANGE=HEAD WHY="..."
platform-compare:
	go run ./cmd/hibiscuscross-compare --bench $(FLEETBENCH) --base $(BASE) --change $(CHANGE) --why "$(WHY)" $(foreach site,$(SITES),$(BENCH)/$(site).toml)
