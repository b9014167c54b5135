"""Searches schedules for violations and shrinks those that are found."""

import contextlib
import logging as std_logging
import random
from collections.abc import Iterator
from typing import Final, final

import msgspec

from berylspread_standins.explorer.choices import Choice, Chooser, Deviations
from berylspread_standins.explorer.invariants import find_violations
from berylspread_standins.explorer.world import World
from berylspread_standins.virtual_time import (
    VirtualTimeStalledError,
    run_virtual,
)

#: Virtual seconds after which a schedule counts as stuck.
LIMIT_S: Final = 200.0
#: The share of choices that deviate in a random walk.
WALK_RATE: Final = 0.15


@final
class Finding(msgspec.Struct, frozen=True):
    """A schedule with the violations that it shows."""

    script: str
    nodes: int
    choices: tuple[Choice, ...]
    violations: tuple[str, ...]

    def deviations(self) -> dict[int, int]:
        """Return the deviations of the schedule."""
        return {
            choice.number: choice.taken
            for choice in self.choices
            if choice.taken
        }

    def describe(self) -> str:
        """Return the deviations and violations as text."""
        lines = [f'script {self.script}, {self.nodes} nodes']
        lines.extend(
            choice.describe() for choice in self.choices if choice.taken
        )
        lines.extend(f'  violated: {text}' for text in self.violations)
        return '\n'.join(lines)


def run_schedule(script: str, nodes: int, chooser: Chooser) -> Finding:
    """Run one schedule in a loop of its own."""
    std_logging.disable(std_logging.CRITICAL)

    async def run() -> list[str]:
        world = World(nodes, chooser)
        await world.run(script)
        return find_violations(world)

    violations = ['the schedule did not end']
    with contextlib.suppress(TimeoutError, VirtualTimeStalledError):
        violations = run_virtual(run(), limit_s=LIMIT_S)
    return Finding(script, nodes, tuple(chooser.choices), tuple(violations))


def explore(script: str, nodes: int, depth: int) -> Iterator[Finding]:
    """Yield every schedule of a script with at most ``depth`` deviations.

    A deviation changes the later choices, so those of each schedule are taken
    from its own run.
    """
    pending: list[tuple[Deviations, int]] = [({}, 0)]
    while pending:
        deviations, first = pending.pop()
        finding = run_schedule(script, nodes, Chooser(deviations))
        yield finding
        if len(deviations) == depth:
            continue
        pending.extend(
            ({**deviations, choice.number: option}, choice.number + 1)
            for choice in finding.choices[first:]
            for option in range(1, len(choice.options))
        )


def walk(
    script: str, nodes: int, seed: int, rate: float = WALK_RATE
) -> Finding:
    """Run a schedule whose choices deviate at random."""
    chooser = Chooser({}, rng=random.Random(seed), rate=rate)
    return run_schedule(script, nodes, chooser)


def shrink(finding: Finding) -> Finding:
    """Return a schedule with as few deviations that still violates a check.

    Each deviation is first tried alone, then they are dropped one by one.  A
    dropped deviation changes the later choices, so this repeats until no
    deviation can be dropped.
    """
    for number, option in finding.deviations().items():
        alone = _rerun(finding, {number: option})
        if alone.violations:
            return alone
    smallest = finding
    while True:
        smaller = _drop_one(smallest)
        if smaller is None:
            return smallest
        smallest = smaller


def _drop_one(finding: Finding) -> Finding | None:
    deviations = finding.deviations()
    for number in deviations:
        left = {
            other: option
            for other, option in deviations.items()
            if other != number
        }
        tried = _rerun(finding, left)
        if tried.violations and len(tried.deviations()) < len(deviations):
            return tried
    return None


def _rerun(finding: Finding, deviations: Deviations) -> Finding:
    return run_schedule(finding.script, finding.nodes, Chooser(deviations))
