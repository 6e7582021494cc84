#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(gcc clang cmake ninja-build pkg-config clang-format clang-tidy
    libuv1-dev libmsgpack-dev libh2o-dev libargtable2-dev liblog4c-dev
    libhttp-parser-dev libglib2.0-dev libjansson-dev libcurl4-openssl-dev libxxhash-dev
    libssl-dev check spin libclang-rt-14-dev curl)
missing=()
for package in "${packages[@]}"; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
	    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}"
