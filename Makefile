.PHONY: build test race lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...
	go test -count=1 -tags debug ./internal/...

race:
	go test -count=1 -race ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./... && go vet -tags debug ./...

run: build
	exec bin/ravenwheel serve
