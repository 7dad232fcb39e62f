#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-2. Needs rustc only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -A dead_code -o target/review-2/standin review/standin-2/platform/main.rs
