"""A soak of the real programs as processes, with faults from outside them."""

from berylspread_standins.process_soak.faults import ProcessFault, faults
from berylspread_standins.process_soak.fleet import ProcessFleet
from berylspread_standins.process_soak.promises import broken_promises
from berylspread_standins.process_soak.proxy import Direction, LoopbackProxy
from berylspread_standins.process_soak.run import SoakReport, run_seed

__all__ = (
    'Direction',
    'LoopbackProxy',
    'ProcessFault',
    'ProcessFleet',
    'SoakReport',
    'broken_promises',
    'faults',
    'run_seed',
)
