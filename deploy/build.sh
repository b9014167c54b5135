#!/usr/bin/env bash
# Installs the libraries and the project's packages below target/deps.
set -euo pipefail

cd "$(dirname "${BASH_SOURCE[0]}")/.."
deps=target/deps
stamp=target/requirements.stamp

# The libraries are installed again only if their pins have changed.
if ! cmp --silent deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  python3 -m pip install --quiet --require-hashes --no-deps \
    --target "$deps" --requirement deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi

# The project's own packages are always copied, so that no old code runs.
for package in packages/berylspread/src/berylspread \
  platform/src/berylspread_platform; do
  rm -rf "${deps:?}/$(basename "$package")"
  cp -r "$package" "$deps/"
done
python3 -m compileall -q "$deps"
