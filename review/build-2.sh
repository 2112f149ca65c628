#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It uses the standard library only and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2-standin ./review/standin-2
