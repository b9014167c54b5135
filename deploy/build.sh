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
  python3 -m compileall -q "$deps"
  cp deploy/requirements.txt "$stamp"
fi

# The project's own packages are copied whenever they differ, so that no old code
# runs, and left alone otherwise, so that a second build disturbs no run.
for package in packages/berylspread/src/berylspread \
  platform/src/berylspread_platform; do
  copy="$deps/$(basename "$package")"
  if ! diff --recursive --brief --exclude=__pycache__ \
    "$package" "$copy" >/dev/null 2>&1; then
    rm -rf "$copy"
    cp -r "$package" "$copy"
    python3 -m compileall -q "$copy"
  fi
done
