#!/usr/bin/env bash
# Lays what a site file needs beside the ones in this folder, out of a kit's folder; git ignores what is laid.
# Usage: lay.sh [KIT_FOLDER]   (default ../given/kit/sites, seen from the repository's root)
set -euo pipefail

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
usage="usage: lay.sh [KIT_FOLDER]   lays real.json, wire.json and unlock.txt of KIT_FOLDER beside the site files"

if (( $# > 1 )); then
    echo "$usage" >&2
    exit 2
fi
case "${1-}" in
    -h | --help) echo "$usage"; exit 0 ;;
    -*) echo "lay.sh: unknown option $1; $usage" >&2; exit 2 ;;
esac
kit=${1-"$here/../../../given/kit/sites"}
if [[ ! -d $kit ]]; then
    echo "lay.sh: no folder at $kit; $usage" >&2
    exit 2
fi
for name in real.json wire.json unlock.txt; do  # all are looked for before any is laid
    if [[ ! -r $kit/$name ]]; then
        echo "lay.sh: $kit has no $name that can be read" >&2
        exit 1
    fi
done
for name in real.json wire.json unlock.txt; do
    if [[ $kit/$name -ef $here/$name ]]; then continue; fi
    cp --remove-destination -- "$kit/$name" "$here/$name"
    chmod u+w -- "$here/$name"
done
echo "laid real.json, wire.json and unlock.txt from $kit"
