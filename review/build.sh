#!/bin/sh
# Builds the stand-ins of the scripts in this folder; the build of the deploy file comes before it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
