#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside the relay: their stand-ins for platform, clients and endpoints,
# and the project's keeper.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/larchkeeper
go build -o bin/review2 ./review/standin-2
