#!/bin/sh
# Builds the stand-ins that the scripts start. Needs only the Rust toolchain; run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/standin.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review/standin-$number" "$source"
done
