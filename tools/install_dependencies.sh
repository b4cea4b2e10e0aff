#!/usr/bin/env bash
# Installs the packages of the shipped build (deploy/system.toml) and of developers (developer_packages.txt) where one
# is missing. Recommended packages are left out, as on the machines that build the program for use.
set -euo pipefail
cd "$(dirname "$0")/.."
shipped=$(sed -n '/^packages = \[/,/^\]/p' deploy/system.toml | sed 's/#.*//' | grep -o '"[^"]*"' | tr -d '"')
mapfile -t packages < <(echo "$shipped"; sed 's/#.*//' tools/developer_packages.txt | grep -v '^[[:space:]]*$')
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
# The check of the shipped build asks the package manager what the listed packages depend on.
if [ ${#missing[@]} -gt 0 ] || ! apt-cache show "${packages[0]}" > /dev/null 2>&1; then apt-get update -qq; fi
[ ${#missing[@]} -eq 0 ] && exit 0
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
