#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m py_compile standins/*.py [1-5]/*.py
