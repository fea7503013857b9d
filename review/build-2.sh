#!/usr/bin/env bash
# Builds what the scripts of the second independent review start, besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stage ./review/stage/platform
