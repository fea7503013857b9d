.PHONY: soak all build test lint spec generate demo docs figures schedules fuzz

all: build lint test

build:
	go build -o valescale .

test:
	go test ./...

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	go tool staticcheck ./...

spec:
	bash spec/check

# Requires protoc. The generated code is committed, so that a build does not need it.
generate:
	mkdir -p .bin
	GOBIN=$(CURDIR)/.bin go install google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH=$(CURDIR)/.bin:$$PATH protoc -I proto --go_out=. --go_opt=module=valescale --connect-go_out=. --connect-go_opt=module=valescale,package_suffix= proto/peer.proto

demo:
	go run ./cmd/demo

# Runs 120,000 random schedules of claims, configuration and leases; takes minutes.
schedules:
	SCHEDULES=40000 go test -timeout 30m -run Schedules -v ./internal/share/...

# Generates the reference pages from the program.
docs: build
	{ printf '# Settings of `valescale serve`\n\nMade by `make docs` from the options in `internal/oper/conf/options.go`.\n'; ./valescale settings | head -c -1; } > docs/SETTINGS.md
	./valescale man > docs/valescale.1

# Generates the tables and charts of docs/MEASUREMENTS.md; takes several minutes.
figures:
	mkdir -p docs/figures
	go build -o .bin/measure ./cmd/measure
	for what in skew reuse fair control capacity path; do \
		.bin/measure --full --plot docs/figures $$what > docs/figures/$$what.md || exit 1; \
	done

# Runs the fuzz target of each parser for 30 s.
fuzz:
	go test -run xxx -fuzz '^FuzzEvents$$' -fuzztime 30s ./internal/edge/relay
	go test -run xxx -fuzz '^FuzzOpen$$' -fuzztime 30s ./internal/edge/relay
	go test -run xxx -fuzz '^FuzzParse$$' -fuzztime 30s ./internal/oper/conf
	go test -run xxx -fuzz '^FuzzCompile$$' -fuzztime 30s ./internal/rule/policy
	go test -run xxx -fuzz '^FuzzAnswers$$' -fuzztime 30s ./internal/edge/relay
	go test -run xxx -fuzz '^FuzzKeepAlive$$' -fuzztime 30s ./internal/edge/relay
	go test -run xxx -fuzz '^FuzzLink$$' -fuzztime 30s ./internal/share/home
	go test -run xxx -fuzz '^FuzzRows$$' -fuzztime 30s ./platform
	go test -run xxx -fuzz '^FuzzSettings$$' -fuzztime 30s ./platform
	go test -run xxx -fuzz '^FuzzHeaders$$' -fuzztime 30s ./platform

# Runs the fault soak against separate router processes with 50 seeds.
soak:
	bench/soak $$(seq 1 50)
