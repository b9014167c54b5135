"""The quarantine of one worker: probe tasks until enough of them succeed."""

from typing import Final, final

INITIAL_PROBE_INTERVAL_S: Final = 10.0
MAX_PROBE_INTERVAL_S: Final = 600.0
PROBE_TIMEOUT_S: Final = 300.0
#: Successful probes in sequence that end a quarantine.
PROBES_TO_LEAVE: Final = 2


@final
class Quarantine:
    """The probes of a quarantined worker.

    Times are loop seconds.  ``probe_interval_s`` is the wait before the next
    probe after a failed one; it doubles with each failure.
    """

    __slots__ = (
        'is_probe_running',
        'next_probe_at',
        'probe_interval_s',
        'probe_started_at',
        'succeeded_probes',
    )

    def __init__(self, now: float) -> None:
        self.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.next_probe_at = now + self.probe_interval_s
        self.is_probe_running = False
        self.probe_started_at = now
        self.succeeded_probes = 0

    def may_probe(self, now: float) -> bool:
        """Return whether a probe is due.

        A probe without an outcome is due again after ``PROBE_TIMEOUT_S``.
        """
        return now >= self.next_probe_at

    def start_probe(self, now: float) -> None:
        """Record that a probe was started."""
        self.is_probe_running = True
        self.probe_started_at = now
        self.next_probe_at = now + PROBE_TIMEOUT_S

    def is_probe(self, started_at: float) -> bool:
        """Return whether a task that started then is the running probe.

        The outcomes of tasks that were already running when the quarantine
        began add no information.
        """
        return self.is_probe_running and started_at >= self.probe_started_at

    def record_probe(self, now: float, *, failed: bool) -> bool:
        """Record the outcome of the probe; return if the quarantine ends."""
        self.is_probe_running = False
        if failed:
            self.succeeded_probes = 0
            self.probe_interval_s = min(
                self.probe_interval_s * 2, MAX_PROBE_INTERVAL_S
            )
            self.next_probe_at = now + self.probe_interval_s
        else:
            self.succeeded_probes += 1
            self.next_probe_at = now
        return self.succeeded_probes >= PROBES_TO_LEAVE
