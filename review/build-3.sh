#!/bin/sh
# Builds the stand-ins of the third review. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A warnings -o target/review-3/standin-3 review/standin-3/platform/main.rs
