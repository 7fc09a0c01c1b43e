# Build, test, lint and run. `make run` needs the toy of `make toy` in another terminal.
.PHONY: build test lint run toy

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
