#!/bin/sh
# Builds the stand-ins of cases 4 to 6, with the standard library alone, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/standins-2/main.rs
