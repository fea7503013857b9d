#!/usr/bin/env bash
# Builds the programs of the cases, which contain all stand-ins. The build of the deploy file builds the router.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
  if [ -f "$folder/main.go" ]; then
    go build -o "target/review/$(basename "$folder")" "./$folder"
  fi
done
