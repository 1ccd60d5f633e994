# What CI does is in .ci/run; `make lint test` is the same by hand.

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# CONFIG names the start-up file; README.md shows one.
run: build
	RELAY_CONFIG=$(CONFIG) target/release/shelfgrade
