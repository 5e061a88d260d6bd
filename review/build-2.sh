#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: clients, cache servers, origin, node list and network, in two programs. It
# needs the build of the deploy file for the router, which each case starts by the line run.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p bin
go build -o bin/review-stand ./review/stand
go build -o bin/review-rig ./review/rig
