#!/bin/bash
# Installs those Debian packages listed in scripts/packages that are missing.
set -euo pipefail
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done <"$(dirname "$0")/packages"
((${#missing[@]})) || exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
