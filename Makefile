.PHONY: bench build check test demo matrix capacity
build:
	go build -o bin/ ./cmd/...
check:
	@test -z "$$(gofmt -l cmd examples pkg)" || { gofmt -l cmd examples pkg; exit 1; }
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
