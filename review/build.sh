#!/bin/bash
# Builds the stand-ins of the cases with the compiler alone; they have no dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
