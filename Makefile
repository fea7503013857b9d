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

# Needs protoc; the generated code is committed, so a build does not.
generate:
	mkdir -p .bin
	GOBIN=$(CURDIR)/.bin go install google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH=$(CURDIR)/.bin:$$PATH protoc -I proto --go_out=. --go_opt=module=valescale --connect-go_out=. --connect-go_opt=module=valescale,package_suffix= proto/peer.proto

demo:
	go run ./cmd/demo

# Walks 120,000 random schedules over claims, configuration and leases; takes minutes.
schedules:
	SCHEDULES=40000 go test -timeout 30m -run Schedules -v ./internal/share/...

# The pages that are made from the program itself.
docs: build
	{ printf '# Settings of `valescale serve`\n\nMade by `make docs` from the options in `internal/oper/conf/options.go`.\n'; ./valescale settings | head -c -1; } > docs/SETTINGS.md
	./valescale man > docs/valescale.1

# The tables and pictures that docs/MEASUREMENTS.md shows; takes some minutes.
figures:
	mkdir -p docs/figures
	go build -o .bin/measure ./cmd/measure
	for what in skew reuse fair control capacity path; do \
		.bin/measure --full --plot docs/figures $$what > docs/figures/$$what.md || exit 1; \
	done

# Each parser's fuzz target for a while.
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

# Random faults against routers as processes of their own, fifty seeds.
soak:
	bench/soak $$(seq 1 50)
