#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start beside those of the deploy file. They use
# the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O "$source" -o "target/review/case-$number"
done
