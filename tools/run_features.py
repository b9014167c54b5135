"""Run the features, one behave process for each folder.

The folders of ``SERIAL_FOLDERS`` run after the others, one at a time.

The output of the folders is printed in their order.  The last line counts
the scenarios.  The exit code is 1 after a failure that KNOWN-RED.txt does not
list, an undefined step, a failed hook, or if no scenario ran.

KNOWN-RED.txt holds one entry a line; the fields are separated by ``|``::

    features/jobs/gang.feature: Name of the scenario | command | seen | issue
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / 'features'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
DEFAULT_JOBS = 8
# Folders whose bounds on memory and descriptors need a machine that does
# nothing else of ours.
SERIAL_FOLDERS = ('crowds',)

PASSED = 'passed'
SKIPPED = 'skipped'
# An assertion failed, or a step raised another exception.
FAILED_OUTCOMES = frozenset(('failed', 'error'))
# Printed by behave after a hook or a cleanup that raised an exception.
HOOK_ERRORS = ('HOOK-ERROR', 'CLEANUP-ERROR')
# Part of the snippets that behave prints for undefined steps.
UNDEFINED_STEPS = 'StepNotImplementedError'


@dataclass(slots=True)
class FolderRun:
    """Results of one behave process."""

    folder: str
    output: str
    # The outcome of each scenario, by location and name.
    outcomes: list[tuple[str, str]] = field(default_factory=list)
    problem: str = ''


def find_folders(names: list[str]) -> list[Path]:
    """Return the named folders, or without names all that hold a feature."""
    if names:
        return [FEATURES / name for name in names]
    return sorted({path.parent for path in FEATURES.glob('*/*.feature')})


def split_folders(folders: list[Path]) -> tuple[list[Path], list[Path]]:
    """Return the folders that run beside others, and those that run alone."""
    serial = [each for each in folders if each.name in SERIAL_FOLDERS]
    return [each for each in folders if each not in serial], serial


def run_folders(
    folders: list[Path], report_dir: str, jobs: int
) -> Iterator[FolderRun]:
    """Run the folders, ``jobs`` at a time, and then the serial ones."""
    parallel, serial = split_folders(folders)
    run_one = partial(run_folder, report_dir=report_dir)
    with ThreadPoolExecutor(max(1, jobs)) as pool:
        yield from pool.map(run_one, parallel)
    yield from map(run_one, serial)


def classify(scenario: dict[str, object]) -> str:
    """Map the status that behave gave a scenario to an outcome."""
    status = str(scenario.get('status', 'untested'))
    if status in {PASSED, SKIPPED}:
        return status
    steps = scenario.get('steps', ())
    assert isinstance(steps, Iterable)
    undefined = any(
        step.get('result', {}).get('status') == 'undefined' for step in steps
    )
    return 'undefined' if undefined else status


def full_name(scenario: dict[str, str]) -> str:
    """Join the path of the feature and the name of the scenario."""
    path = scenario['location'].rsplit(':', 1)[0]
    return f'{path}: {scenario["name"]}'


def read_outcomes(report: Path) -> list[tuple[str, str]]:
    """Read the scenarios of one JSON report."""
    features = json.loads(report.read_text(encoding='utf-8'))
    return [
        (full_name(scenario), classify(scenario))
        for feature in features
        for scenario in feature.get('elements', ())
        if scenario['type'] != 'background'
    ]


def run_folder(folder: Path, report_dir: str) -> FolderRun:
    """Run behave over one folder and collect its results."""
    report = Path(report_dir) / f'{folder.name}.json'
    command = [
        *(sys.executable, '-m', 'behave', '--no-color'),
        *('--format', 'json', '--outfile', str(report)),
        *('--format', 'progress', '--outfile', '/dev/stdout'),
        str(folder.relative_to(ROOT)),
    ]
    completed = subprocess.run(
        command,
        cwd=ROOT,
        env=os.environ | {'PYTHONHASHSEED': '0'},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    run = FolderRun(folder.name, completed.stdout.rstrip())
    try:
        run.outcomes = read_outcomes(report)
    except (OSError, ValueError) as error:
        run.problem = f'no report from behave: {error}'
        return run
    run.problem = find_problem(run, completed.returncode)
    return run


def find_problem(run: FolderRun, exit_code: int) -> str:
    """Describe a failure of a folder that no scenario shows, if any."""
    if not run.outcomes:
        return 'no scenario'
    if any(mark in run.output for mark in HOOK_ERRORS):
        return 'a hook or a cleanup failed'
    if UNDEFINED_STEPS in run.output:
        return 'an undefined step'
    no_failure = all(
        outcome in {PASSED, SKIPPED} for _, outcome in run.outcomes
    )
    if exit_code and no_failure:
        return f'behave ended with exit code {exit_code}'
    return ''


def read_known_red() -> set[str]:
    """Read the names of the scenarios that may fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.split('|', 1)[0].strip()
        for line in lines
        if line.strip() and not line.startswith('#')
    }


def count_scenarios(runs: list[FolderRun], wanted: str) -> int:
    """Count the scenarios of all folders that have the wanted outcome."""
    return sum(outcome == wanted for run in runs for _, outcome in run.outcomes)


def print_known_red(runs: list[FolderRun], known: set[str]) -> None:
    """Print the outcomes of the scenarios that KNOWN-RED.txt lists."""
    folders = tuple(f'features/{run.folder}/' for run in runs)
    outcomes = {name: outcome for run in runs for name, outcome in run.outcomes}
    for name in sorted(known):
        if not name.startswith(folders):
            continue
        outcome = outcomes.get(name)
        if outcome in FAILED_OUTCOMES:
            print(f'known red, passed over: {name}')
        elif outcome == PASSED:
            print(f'known red, but it passes; remove the entry: {name}')
        else:
            print(f'known red, but not run to a result: {name}')


def print_failures(runs: list[FolderRun], known: set[str]) -> bool:
    """Print the failures and problems; return whether there are any."""
    lines = [
        f'problem: features/{run.folder}: {run.problem}'
        for run in runs
        if run.problem
    ]
    for run in runs:
        lines.extend(
            f'{outcome}: {name}'
            for name, outcome in run.outcomes
            if outcome not in {PASSED, SKIPPED}
            and not (outcome in FAILED_OUTCOMES and name in known)
        )
    print(*lines, sep='\n', end='\n' if lines else '')
    return bool(lines)


def print_summary(runs: list[FolderRun], known: set[str]) -> bool:
    """Print the summary and return whether the run succeeded."""
    has_failures = print_failures(runs, known)
    print_known_red(runs, known)
    passed = count_scenarios(runs, PASSED)
    skipped = count_scenarios(runs, SKIPPED)
    failed = sum(len(run.outcomes) for run in runs) - passed - skipped
    is_empty = passed + failed == 0
    if is_empty:
        print('problem: no scenario was run')
    print(f'{passed} passed, {failed} failed, {skipped} skipped')
    return not (has_failures or is_empty)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n', 1)[0])
    parser.add_argument('folders', nargs='*', help='folders under features/')
    parser.add_argument('--jobs', type=int, default=DEFAULT_JOBS)
    return parser.parse_args()


def main() -> int:
    """Run the folders and return the exit code."""
    arguments = parse_arguments()
    folders = find_folders(arguments.folders)
    runs: list[FolderRun] = []
    with tempfile.TemporaryDirectory() as report_dir:
        for finished in run_folders(folders, report_dir, arguments.jobs):
            print(f'== features/{finished.folder}\n{finished.output}\n')
            runs.append(finished)
    return 0 if print_summary(runs, read_known_red()) else 1


if __name__ == '__main__':
    sys.exit(main())
