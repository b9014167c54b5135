#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: plain Python, checked by compiling it.
set -euo pipefail

cd "$(dirname "${BASH_SOURCE[0]}")"
for file in standins-3/*.py 1[1-5]/*.py; do
  if [ -e "$file" ]; then
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
  fi
done
