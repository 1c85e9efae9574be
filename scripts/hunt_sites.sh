#!/usr/bin/env bash
# Hunts days with other seeds on several sites of the users' bench, one site
# after the other, and prints a line for each: days, and how many broke a rule.
#
#   scripts/hunt_sites.sh BENCH OUT SITE:DAYS...
#
# What the bench prints stays in OUT. JOBS: days at once (4). WHY: a line for the
# journal. Exits with 1 if a rule was broken or a site was not hunted.
set -u
cd "$(dirname "$0")/.."
bench=$1
out=$2
shift 2
mkdir -p "$out"
failed=0
for item in "$@"; do
  site=${item%:*}
  name=$(basename "$site" .toml)
  "$bench" hunt "$site" --days "${item##*:}" --jobs "${JOBS:-4}" \
    --why "${WHY:-hunt before a landing}" >"$out/$name" 2>&1
  line=$(grep -E 'days on .* with a rule broken' "$out/$name")
  echo "${line:-$name: not hunted: $(tail -n 1 "$out/$name")}"
  case $line in
  *' 0 with a rule broken'*) ;;
  *) failed=1 ;;
  esac
done
exit $failed
