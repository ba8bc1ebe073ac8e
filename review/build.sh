#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library only, into `target/review`.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in stale_refusal reused_address; do
    rustc --edition 2024 -O -o "target/review/$name" "review/standins/$name.rs"
done
