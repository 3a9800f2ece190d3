#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the lint checks
# need.  No other file lists them: CI and the README call this script.
set -euo pipefail

packages=(
    build-essential
    cmake
    clang
    clang-format
    clang-tidy
    curl
    gnuplot-nox
    jq
    libclang-rt-14-dev
    libcunit1-dev
    libcurl4-openssl-dev
    libevent-dev
    libglib2.0-dev
    libjansson-dev
    libpq-dev
    libprotobuf-c-dev
    libsodium-dev
    libsqlite3-dev
    libssl-dev
    libtomlplusplus-dev
    libxxhash-dev
    openssl
    pkg-config
    protobuf-c-compiler
    zlib1g-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi

sudo=""
if [ "$(id -u)" -ne 0 ]; then
    sudo="sudo"
fi
$sudo apt-get update -q
$sudo env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -q --no-install-recommends "${missing[@]}"
