"""Estimates the memory of the folded state, the units and one node."""

from typing import Final

from berylspread.capacity.coefficients import Coefficients
from berylspread.capacity.fleet import Fleet

#: Limits of the folded state: ended jobs, and retained texts of a document.
MAX_ENDED_JOBS: Final = 2000
MAX_CONFIG_TEXTS: Final = 3


def folded_state_memory_bytes(
    fleet: Fleet, coefficients: Coefficients
) -> float:
    """Return the memory of the state that every node folds from the log."""
    ended_jobs = min(MAX_ENDED_JOBS, fleet.jobs_per_day)
    config_texts = min(MAX_CONFIG_TEXTS, fleet.config_changes_per_day)
    return (
        fleet.queued_jobs * coefficients.slope('memory_bytes_per_queued_job')
        + ended_jobs * coefficients.slope('memory_bytes_per_ended_job')
        + fleet.keys * coefficients.slope('memory_bytes_per_key')
        + fleet.teams * coefficients.slope('memory_bytes_per_team')
        + config_texts * coefficients.slope('memory_bytes_per_config_version')
    )


def partition_owners_memory_bytes(
    fleet: Fleet, coefficients: Coefficients
) -> float:
    """Return the memory of all partition owners together."""
    return (
        fleet.workers * coefficients.slope('memory_bytes_per_worker')
        + fleet.workers * coefficients.slope('rss_bytes_per_worker_connection')
        + fleet.tasks * coefficients.slope('memory_bytes_per_held_task')
    )


def job_homes_memory_bytes(fleet: Fleet, coefficients: Coefficients) -> float:
    """Return the memory of all job homes together, without the folds."""
    return fleet.tasks * coefficients.slope('memory_bytes_per_home_task')


def node_memory_bytes(fleet: Fleet, coefficients: Coefficients) -> float:
    """Return the memory of a node: imports, folds and share of the units."""
    units = partition_owners_memory_bytes(
        fleet, coefficients
    ) + job_homes_memory_bytes(fleet, coefficients)
    return (
        coefficients.intercept('rss_bytes_of_imports')
        + folded_state_memory_bytes(fleet, coefficients)
        + units / fleet.nodes
    )
