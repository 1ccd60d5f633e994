# What CI does is in .ci/run; `make lint test` is the same by hand.

.PHONY: build test lint run sites try

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

# What the bench wants beside the site files of our own; KIT names its folder, and nothing of it is committed.
KIT ?= ../given/kit
sites:
	cp -f $(addprefix $(KIT)/more/mass/other/,real.json wire.json unlock.txt) deploy/sites/

# A small fleet from shipped files against stand-ins: places clients, survives a loss of power, says what happened.
try:
	cargo run --release --locked --quiet -p shelfgrade-testkit --example try
