#!/usr/bin/env bash
# Sets up and passes all tests: format, build with warnings as errors, the test
# programs plain and under both sanitizer builds, and the linter.
#
#   scripts/test.sh          everything
#   scripts/test.sh quick    without sanitizers and linter
set -u
cd "$(dirname "$0")/.."
failed=0
step() {
  local name=$1
  shift
  local start=$SECONDS
  if "$@" >"build-log-$$" 2>&1; then
    echo "ok   $name ($((SECONDS - start)) s)"
  else
    echo "FAIL $name ($((SECONDS - start)) s)"
    tail -n 60 "build-log-$$"
    failed=1
  fi
  rm -f "build-log-$$"
}

check_format() {
  git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
}
# The entries "test: NAME (ctest ..." of KNOWN-RED.txt, as a regular expression.
known_red() {
  sed -n 's/^test: \([a-z_]*\) (ctest .*/\1/p' KNOWN-RED.txt | paste -sd '|'
}
run_tests() {
  ctest --test-dir "$1" --output-on-failure -j 4 -E "^($(known_red))\$"
}
# The explorer's seeds and the daemon's timing run long under a sanitizer, so
# its tests run there with fewer at once.
run_sanitized() {
  SANITIZE=$2 BUILD=$1 TARGETS=tests/all scripts/build.sh &&
    TSAN_OPTIONS=halt_on_error=1 UBSAN_OPTIONS=halt_on_error=1 \
      run_tests "$1"
}
# clang-tidy reads the flags of the plain build.
run_linter() {
  git ls-files 'src/*.cpp' 'bin/*.cpp' |
    xargs -P 8 -n 3 clang-tidy -p build --quiet
}

step setup scripts/setup.sh
step format check_format
step build scripts/build.sh
[ "$failed" = 0 ] || exit 1
step tests run_tests build
if [ "${1:-}" != quick ]; then
  step "tests, address and undefined" run_sanitized build-asan address,undefined
  step "tests, thread" run_sanitized build-tsan thread
  step lint run_linter
fi
echo "known red:"
sed -n '/^[^#]/p' KNOWN-RED.txt
count=$(ctest --test-dir build -N | sed -n 's/^Total Tests: //p')
if [ "$failed" = 0 ]; then
  echo "$count passed, 0 failed"
else
  echo "some steps failed"
fi
exit $failed
