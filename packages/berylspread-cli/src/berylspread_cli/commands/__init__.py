"""The command groups, one module for each."""

from berylspread_cli.commands.calls import read_body, run_call
from berylspread_cli.commands.capacity import show_capacity
from berylspread_cli.commands.check import run_check
from berylspread_cli.commands.config import ConfigCommands
from berylspread_cli.commands.jobs import JobCommands
from berylspread_cli.commands.keys import KeyCommands
from berylspread_cli.commands.logs import show_trail, write_report

__all__ = (
    'ConfigCommands',
    'JobCommands',
    'KeyCommands',
    'read_body',
    'run_call',
    'run_check',
    'show_capacity',
    'show_trail',
    'write_report',
)
