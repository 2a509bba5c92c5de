#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no network and no library.
set -e
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=${REVIEW_TARGET:-../target} cargo build --release --offline --locked
