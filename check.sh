#!/usr/bin/env bash
# Checks format, lints and tests. Tests listed in KNOWN-RED.txt as known failures
# are skipped, and the list is printed.
set -euo pipefail
cd "$(dirname "$0")"

# An upgrade on the platform begins with a build from this history. A shallow clone
# lacks the commit, so that only a full one can tell.
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
if [ "$(git rev-parse --is-shallow-repository)" = false ]; then
    if ! git merge-base --is-ancestor "$production" HEAD; then
        echo "deploy/system.toml: production is no ancestor of this commit: $production" >&2
        exit 1
    fi
    if ! grep -q '^build = ' <<< "$(git show "$production:deploy/system.toml")"; then
        echo "deploy/system.toml: production has no build line of its own: $production" >&2
        exit 1
    fi
fi

cargo fmt --all --check
cargo clippy --workspace --all-targets -- -D warnings

# Some tests start the binaries as processes.
cargo build --workspace

skips=()
if [ -s KNOWN-RED.txt ]; then
    while read -r name; do
        skips+=(--skip "$name")
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi

if [ "${#skips[@]}" -gt 0 ]; then
    cargo test --workspace -- --exact "${skips[@]}"
else
    cargo test --workspace
fi

if [ "${#skips[@]}" -gt 0 ]; then
    echo "Known failures, skipped (see KNOWN-RED.txt):"
    cat KNOWN-RED.txt
fi
