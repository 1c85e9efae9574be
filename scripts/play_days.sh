#!/usr/bin/env bash
# Plays day files on one site of the users' bench, a few at once, and prints a
# table row for each: worth, served, and the rules broken or the fault.
#
#   scripts/play_days.sh BENCH SITE OUT [FILE...]   default: deploy/days/*.toml
#
# The reports stay in OUT. JOBS: days at once (4). Exits with 1 if a rule was
# broken, a floor missed, or a day not played.
set -u
cd "$(dirname "$0")/.."
bench=$1
site=$2
out=$3
shift 3
[ $# -gt 0 ] || set -- deploy/days/*.toml
mkdir -p "$out"
"$bench" build >"$out/build" 2>&1 || {
  cat "$out/build"
  exit 1
}
touch "$out/started"
# shellcheck disable=SC2016
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} sh -c \
  '"$1" run "$2" "$3" --why "table of troubles: $(basename "$3" .toml)" \
     >"$4/$(basename "$3" .toml)" 2>&1' sh "$bench" "$site" {} "$out"

entries=$(find journal -maxdepth 1 -name '*.json' -newer "$out/started")
failed=0
for file in "$@"; do
  name=$(basename "$file" .toml)
  row=$(jq -r --arg why "table of troubles: $name" 'select(.why == $why) |
    .days[0] | [(.G | tostring | .[0:5]), (.served | tostring | .[0:5]),
      ([(.rules | to_entries[] | "\(.key) \(.value)"), (.fault // empty),
        (if .gate then empty else "gate" end)] | join(", "))] | join(" | ")' \
    $entries)
  echo "| $name | ${row:-not played: $(tail -n 1 "$out/$name")} |"
  case $row in
  *'| ') ;;
  *) failed=1 ;;
  esac
done
exit $failed
