#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. Run it from the repository's root,
# after the build of the deploy file. It needs rustc only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/world review/standin-3/world.rs
