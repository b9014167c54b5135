#!/bin/sh
# Builds the stand-ins of the scripts review/6 to review/10.  They are Python
# that runs from where it stands, with the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -c "
import aiohttp, msgspec
from pathlib import Path
for path in sorted(Path('review/standins-2').glob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
"
