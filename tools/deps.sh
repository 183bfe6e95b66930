#!/usr/bin/env bash
# Install the Debian packages named as arguments, where any is missing.
set -eu
missing=()
for package in "$@"; do
    state=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [ "$state" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "deps: installing ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
