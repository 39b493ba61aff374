#!/usr/bin/env bash
# Runs the case from the root of the repository, after the build of deploy/system.toml and review/build.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/amaranth-sidecar target/review-standin; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-standin quota-hot review/5
