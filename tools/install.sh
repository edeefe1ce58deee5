#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail
Packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy \
  libpoco-dev libcereal-dev libboost-dev libboost-program-options-dev \
  liblog4cxx-dev libexpected-dev libcriterion-dev libxxhash-dev \
  librapidcheck-dev libbenchmark-dev"
Missing=""
for Package in $Packages; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null |
    grep -q "install ok installed" || Missing="$Missing $Package"
done
[ -z "$Missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
  --no-install-recommends $Missing >/dev/null
