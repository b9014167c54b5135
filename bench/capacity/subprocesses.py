"""Fresh processes, each of which prints one JSON line."""

import json
import subprocess
import sys
from typing import Any

TIMEOUT_S = 120.0
#: At one time.
PROCESSES = 3


def run_module(module: str, given: dict[str, Any]) -> dict[str, float]:
    """Run a module of this package on arguments and return what it prints."""
    done = subprocess.run(
        (sys.executable, '-m', f'bench.capacity.{module}', json.dumps(given)),
        stdout=subprocess.PIPE,
        check=True,
        timeout=TIMEOUT_S,
    )
    found: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    return found
