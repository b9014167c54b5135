"""The resident memory of a daemon that has only been imported."""

import json
import subprocess
import sys

from bench.capacity.fit import Line

KIB = 1024
CODE = (
    'import resource, berylspread_daemon.main;'
    'print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)'
)


def measure() -> dict[str, Line]:
    """Return the imports' memory as a constant."""
    done = subprocess.run(
        (sys.executable, '-c', CODE), stdout=subprocess.PIPE, check=True
    )
    rss = json.loads(done.stdout) * KIB
    return {'rss_bytes_of_imports': Line(0, rss, 0, (1,))}
