#!/bin/sh
# Builds the stand-ins of the cases: one program, which also judges them. The router itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/play
