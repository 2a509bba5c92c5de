#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --quiet \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
