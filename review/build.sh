#!/bin/bash
# Builds the stand-ins of the cases into review/bin. It needs no network: all packages are those of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -buildvcs=false -trimpath -o review/bin/case1 ./review/1
CGO_ENABLED=1 go build -buildvcs=false -trimpath -o review/bin/case2 ./review/2
CGO_ENABLED=1 go build -buildvcs=false -trimpath -o review/bin/case3 ./review/3
