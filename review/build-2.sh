#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, after the build of the deploy file. No network, no dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2.rs
