"""Runs the program of ``platform/`` on a VM whose clock is wrong."""

import os
import runpy
import time
from typing import Final

CLOCK_VARIABLE: Final = 'SOAK_CLOCK_OFF_S'


def main() -> None:
    """Run the program; its time of day is off by what the variable says."""
    off_s = float(os.environ.get(CLOCK_VARIABLE, '0'))
    true_time = time.time
    time.time = lambda: true_time() + off_s
    runpy.run_module('berylspread_platform', run_name='__main__')


if __name__ == '__main__':
    main()
