#!/usr/bin/env bash
# Installs the missing ones of the Debian packages that the build and the tests need.
set -euo pipefail
PACKAGES="g++ cmake make ninja-build pkg-config ccache git curl libgrpc++-dev libprotobuf-dev protobuf-compiler-grpc libboost-dev prometheus-cpp-dev libmicrohttpd-dev
  libcurl4-openssl-dev libssl-dev libcxxopts-dev libboost-log-dev libboost-thread-dev libboost-filesystem-dev catch2 libinih-dev libcsv-dev
  nlohmann-json3-dev libxxhash-dev libpcg-cpp-dev zlib1g-dev spin gcc clang-format clang-tidy clang libclang-rt-14-dev"
missing=""
for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q > /tmp/chestnutgw-apt.log 2>&1
# shellcheck disable=SC2086
apt-get install -y -q --no-install-recommends $missing >> /tmp/chestnutgw-apt.log 2>&1 || { tail -20 /tmp/chestnutgw-apt.log; exit 1; }
