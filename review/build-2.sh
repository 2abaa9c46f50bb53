#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start. It runs after the build command of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -buildvcs=false -trimpath -tags review2 -o bin/review-peers ./review/peers
