#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/mangopaddle ] || [ ! -x target/review-standin ]; then
  echo "build with the command of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec target/review-standin shared "$here"
