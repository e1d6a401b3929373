# Targets to build, check, format, lint and document the project; .ci/run runs the same commands.
export GOBIN := $(CURDIR)/bin
PATH := $(GOBIN):$(PATH)

MODULES := . internal/decision pkg/document pkg/platform
SETTINGS := mkutano lechtal
WEATHERS := calm bad

.PHONY: build check race fmt lint docs generate traces tools demo clean kills soak soak-fresh soak-reborn soak-reborn-seeds crowd crowd-short fuzz

build:
	go build -o bin/apricotwind ./cmd/apricotwind

check:
	go test work

# Runs the race detector where its run time is affordable: on the processes and all packages below
# them.
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

# Regenerates the recorded traces, all from seed 1.
traces: build
	@for s in $(SETTINGS); do for w in $(WEATHERS); do \
	  bin/apricotwind trace --setting $$s --weather $$w --seed 1 > internal/trace/traces/$$s-$$w.trace || exit 1; \
	done; done

# Regenerates the command output in docs/ and README.md by running the commands.
docs: build
	go run ./test/docs README.md docs/*.md

# Kills processes of a real deployment under load; takes 45 s.
kills: build
	test/kills/run

# Injects faults into a deployment of the real processes, with a fixed seed and with each seed that
# ever failed, so that each run plays the same faults.
soak: build
	go build -o bin/soak ./test/soak
	bin/soak --seed 1 --length 8s
	@for seed in $$(grep -o '^[0-9][0-9]*' test/soak/seeds); do bin/soak --seed $$seed --length 8s || exit 1; done

# The same with new random seeds, by hand.
soak-fresh: build
	go build -o bin/soak ./test/soak
	bin/soak --seed 0 --seeds 10 --length 8s

# Workers come back under their IDs and are cut off: new random seeds, or those that ever failed. By hand.
soak-reborn: build
	go build -o bin/soak ./test/soak
	bin/soak --reborn --seed 0 --seeds 10 --length 40s

soak-reborn-seeds: build
	go build -o bin/soak ./test/soak
	@failed=0; for seed in $$(sed -n 's/^reborn \([0-9][0-9]*\) .*/\1/p' test/soak/seeds); do \
	  bin/soak --reborn --seed $$seed --length 40s || failed=1; \
	done; exit $$failed

# Sends the requests of clients that nobody controls to real processes, apart from other load: every
# kind of them by hand, and the cases of CI.
crowd: build
	go build -o bin/crowd ./test/crowd
	bin/crowd

crowd-short: build
	go build -o bin/crowd ./test/crowd
	bin/crowd --short

# Fuzzes the readers of messages, rows and texts, by hand. CI plays the seeds of the fuzz tests, as
# part of the tests.
fuzz:
	go test ./internal/owner -run none -fuzz FuzzCalls -fuzztime 30s -parallel 3
	go test ./internal/owner -run none -fuzz FuzzRows -fuzztime 30s -parallel 3
	go test ./internal/runner -run none -fuzz FuzzOrders -fuzztime 30s -parallel 3
	go test ./platform -run none -fuzz FuzzTexts -fuzztime 30s -parallel 3

demo: build
	bin/apricotwind demo

clean:
	rm -rf bin
