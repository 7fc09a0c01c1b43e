# Build, test, lint and run. `make run` needs the toy of `make toy` in another terminal.
.PHONY: build test lint doc run toy toy-fleet proof-budgets measure-budgets same-decisions soak

build:
	cargo build --release --locked

# TEST_ARGS chooses, as in `make test TEST_ARGS="--test proxy"`; .ci/known-red does so.
test:
	cargo test --locked --workspace $(TEST_ARGS)

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

doc:
	RUSTDOCFLAGS="-D warnings" cargo doc --no-deps --workspace --locked

run: build
	LB_CONFIG=examples/config.json target/release/linenhill

toy:
	cargo run --release --locked --example toy

# The toy, three keepers and three proxies that divide budgets; ends with Ctrl-C.
toy-fleet: build
	cargo build --release --locked --example toy
	cargo run --release --locked --example fleet

# Longer than every landing's tests: more sequences of faults over more processes, all orders of three requests, and
# every injected fault. LINENHILL_SEED, LINENHILL_SEQUENCES and LINENHILL_HISTORIES choose.
proof-budgets:
	LINENHILL_HISTORIES=$${LINENHILL_HISTORIES:-10000} cargo test --locked --release -p linenhill-lab
	cargo test --locked --release -p linenhill-lab --features fault-injection planted -- --nocapture
	LINENHILL_LONG=1 cargo test --locked --release -p linenhill-decisions --features fault-injection --test quota
	LINENHILL_SEQUENCES=$${LINENHILL_SEQUENCES:-200} cargo test --locked --release --test fleet members -- --nocapture
	cargo test --locked --release --features fault-injection --test fleet planted

# Real proxies under random faults that overlap, judged by the platform's rules. LINENHILL_SEED, LINENHILL_SECONDS and
# LINENHILL_PROCESSES choose; LINENHILL_PROGRAM names another build, which the judge must then find fault with.
soak:
	LINENHILL_SECONDS=$${LINENHILL_SECONDS:-120} LINENHILL_PROCESSES=$${LINENHILL_PROCESSES:-30} cargo test --locked --test soak -- --nocapture

# The decisions in random histories must be those of revision REF; without it, those kept in docs/measurements. Both
# revisions need the subcommand `digest-decisions`. SEEDS chooses how many histories.
same-decisions:
	.ci/same-decisions "$(REF)" $(or $(SEEDS),1000)

# What budgets give and cost, under virtual time: the same figures every time, but for the real time they take.
measure-budgets:
	cargo run --release --locked -p linenhill-lab -- divide --proxies 10
	cargo run --release --locked -p linenhill-lab -- divide --proxies 100
	cargo run --release --locked -p linenhill-lab -- cost --proxies 300
	cargo run --release --locked -p linenhill-lab -- cost --proxies 2000 --lease 10
