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
# shellcheck disable=SC2016
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} sh -c \
  '"$1" run "$2" "$3" --why "table of troubles: $(basename "$3" .toml)" \
     >"$4/$(basename "$3" .toml)" 2>&1' sh "$bench" "$site" {} "$out"

failed=0
for file in "$@"; do
  name=$(basename "$file" .toml)
  # The report's last line names its journal entry.
  id=$(sed -n 's/^snapshot //p' "$out/$name")
  row=
  [ -z "$id" ] ||
    row=$(jq -r '.days[0] | [(.G | tostring | .[0:5]),
      (.served | tostring | .[0:5]),
      ([(.rules | to_entries[] | "\(.key) \(.value)"), (.fault // empty),
        (if .gate then empty else "gate" end)] | join(", ") |
        if . == "" then "kept" else . end)] | join(" | ")' journal/*-"$id".json)
  echo "| $name | ${row:-not played: $(tail -n 1 "$out/$name")} |"
  case $row in
  *'| kept') ;;
  *) failed=1 ;;
  esac
done
exit $failed
