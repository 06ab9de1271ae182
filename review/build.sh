#!/usr/bin/env bash
# Builds the stand-ins of the review from the standard library alone; needs only rustc.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standin -o target/review/standin review/standin/main.rs
