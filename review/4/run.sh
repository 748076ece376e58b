#!/usr/bin/env bash
# Plays the case once and writes record.txt beside this file. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dogwooddyke ] && [ -x target/review/driver ] || {
  echo "build first: the deploy file's command, then review/build.sh" >&2
  exit 2
}
exec target/review/driver twice review/4/record.txt
