"""Helpers that the step modules of several folders share."""

from features.support.virtual_time import run_virtual

__all__ = ['run_virtual']
