# What CI does is in .ci/run; `make lint test` is the same by hand.

.PHONY: build test lint run sites try

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --lib --locked

# CONFIG names the start-up file; README.md shows one.
run: build
	RELAY_CONFIG=$(CONFIG) target/release/shelfgrade

# Files of the bench that have to stand beside our own site files; KIT names its folder, and nothing of it is committed.
KIT ?= ../given/kit
sites:
	cp -f $(addprefix $(KIT)/more/mass/other/,real.json wire.json unlock.txt) deploy/sites/

# Runs a small fleet from shipped files against stand-ins, cuts its power, and prints what happened.
try:
	cargo run --release --locked --quiet -p shelfgrade-testkit --example try
