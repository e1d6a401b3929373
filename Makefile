# build, check, fmt, lint and docs; each target is what CI runs too.
export GOBIN := $(CURDIR)/bin
PATH := $(GOBIN):$(PATH)

MODULES := . internal/decision pkg/document pkg/platform
SETTINGS := mkutano lechtal
WEATHERS := calm bad

.PHONY: build check race fmt lint docs generate traces tools demo clean kills capacity soak

build:
	go build -o bin/apricotwind ./cmd/apricotwind

check:
	go test work

# The race detector where it is affordable: the processes and all below them.
race:
	go test -race ./internal/... github.com/apricotwind/apricotwind/internal/decision/...

tools:
	@test -x bin/gofumpt || go install mvdan.cc/gofumpt@v0.12.0
	@test -x bin/revive || go install github.com/mgechev/revive@v1.15.0
	@test -x bin/stringer || go install golang.org/x/tools/cmd/stringer@v0.52.0

fmt: tools
	gofumpt -w cmd internal pkg platform test

lint: tools
	@test -z "$$(gofumpt -l cmd internal pkg platform test)" || { gofumpt -l cmd internal pkg platform test; echo 'run make fmt'; exit 1; }
	go vet work
	@for module in $(MODULES); do (cd $$module && revive -set_exit_status ./...) || exit 1; done

generate: tools
	@for module in $(MODULES); do (cd $$module && go generate ./...) || exit 1; done

# The recorded days are made from seed 1.
traces: build
	@for s in $(SETTINGS); do for w in $(WEATHERS); do \
	  bin/apricotwind trace --setting $$s --weather $$w --seed 1 > internal/trace/traces/$$s-$$w.trace || exit 1; \
	done; done

# Outputs of commands in docs/ and README.md are made by running them.
docs: build
	go run ./test/docs README.md docs/*.md

# Processes of the real deployment killed under load; takes 45 s.
kills: build
	test/kills/run

# Faults from outside against the real processes: a fresh seed and those that ever failed.
soak: build
	go build -o bin/soak ./test/soak
	bin/soak --seed 0 --length 8s
	@for seed in $$(grep -o '^[0-9][0-9]*' test/soak/seeds); do bin/soak --seed $$seed --length 8s || exit 1; done

# Measured slopes and what they come to at the size aimed at; takes two minutes.
capacity: build
	test/capacity/measure > bin/measured.txt
	go run ./test/capacity < bin/measured.txt > docs/CAPACITY-measured.md

demo: build
	bin/apricotwind demo

clean:
	rm -rf bin
