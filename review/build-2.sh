#!/usr/bin/env bash
# Builds the programs of the second review's cases (standard library only).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 4 5 6 7 8; do
    [ -f "review/$case/case.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-$case" "review/$case/case.rs"
done
