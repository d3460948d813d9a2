#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10. It needs no network: it uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/_standin2
