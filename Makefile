# Build, test, lint and run. `make run` needs the toy of `make toy` in another terminal.
.PHONY: build test lint run toy proof-budgets

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	LB_CONFIG=examples/config.json target/release/linenhill

toy:
	cargo run --release --locked --example toy

# Longer than every landing's tests: more sequences of faults over more processes, all orders of three requests, and
# every planted fault. LINENHILL_SEED and LINENHILL_SEQUENCES choose.
proof-budgets:
	LINENHILL_LONG=1 cargo test --locked --release -p linenhill-decisions --features planted-faults --test shares
	LINENHILL_SEQUENCES=$${LINENHILL_SEQUENCES:-200} cargo test --locked --release --test fleet members -- --nocapture
	cargo test --locked --release --features planted-faults --test fleet planted
