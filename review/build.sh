#!/bin/sh
# Builds the stand-ins of the review: std only, no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 -o target/review/standin review/platform/main.rs
