#!/usr/bin/env bash
# Builds the stand-in of the cases. It needs no network: it uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
