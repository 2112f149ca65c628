#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -o ../bin/case .
