#!/bin/sh
# Builds the executable that all hosts run, at dist/monsoonwall or the path
# given.
set -eu
cd "$(dirname "$0")/.."
python="$(sh scripts/prepare.sh | tail -n 1)"
target="${1:-dist/monsoonwall}"
mkdir -p "$(dirname "$target")"
"$(dirname "$python")/shiv" --quiet --reproducible --compressed \
    --python '/usr/bin/env python3' --console-script monsoonwall \
    --output-file "$target" .
rm -rf build src/monsoonwall.egg-info
echo "$target"
