#!/usr/bin/env bash
# Builds the stand-ins of the third review. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/standin-3 ./review/standin-3
