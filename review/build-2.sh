#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs rustc only: no package, no network.
# The programs under test come from the build of the deploy file (deploy/system.toml).
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/drain-forgotten review/4/main.rs
