#!/usr/bin/env bash
# Plays the case on loopback addresses; claim.txt says what it shows. Needs the build of the deploy
# file and review/build-2.sh. Ends with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -uo pipefail
# TROUBLE=0 plays the same without the disruption; the stand-in reads it too.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if ! [ -x target/release/corianderrampd ] || ! [ -x target/review/standin-2 ]; then
  echo 'run the build of deploy/system.toml and review/build-2.sh first' >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
# The stand-in starts the processes, and ends them after 110 s at most.
target/review/standin-2 restart "$folder" "$temporary"
status=$?
rm -rf "$temporary"
[ "$status" -le 1 ] || status=2
exit "$status"
