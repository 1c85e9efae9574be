#!/usr/bin/env bash
# Installs what the build needs from Debian's packages. Needs root.
set -eu
packages="g++ cmake ninja-build pkg-config curl clang-format clang-tidy
  libasio-dev libjsonrpccpp-dev libjsoncpp-dev libcpp-httplib-dev libssl-dev
  zlib1g-dev libbrotli-dev libtomlplusplus-dev libgflags-dev libfmt-dev
  doctest-dev libboost-dev nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev
  libhttp-parser-dev libsodium-dev"
missing=
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
if [ -n "$missing" ]; then
  apt-get update -q >/dev/null
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends \
    $missing >/dev/null
fi
