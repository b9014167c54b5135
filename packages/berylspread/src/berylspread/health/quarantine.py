"""One worker's quarantine: probes at growing intervals until it does well."""

from typing import Final, final

INITIAL_PROBE_INTERVAL_S: Final = 10.0
MAX_PROBE_INTERVAL_S: Final = 600.0
PROBE_TIMEOUT_S: Final = 300.0
PROBES_TO_LEAVE: Final = 2


@final
class Quarantine:
    """Times are loop seconds; ``pause_s`` doubles with each failed probe."""

    __slots__ = (
        'is_probe_running',
        'next_probe_at',
        'probe_interval_s',
        'succeeded_probes',
    )

    def __init__(self, now: float) -> None:
        """Start with a pause before the first probe."""
        self.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.next_probe_at = now + self.probe_interval_s
        self.is_probe_running = False
        self.succeeded_probes = 0

    def may_probe(self, now: float) -> bool:
        """Return whether a probe is due; a lost one is repeated in time."""
        return now >= self.next_probe_at

    def start_probe(self, now: float) -> None:
        """Wait for a probe's end, or for its timeout."""
        self.is_probe_running = True
        self.next_probe_at = now + PROBE_TIMEOUT_S

    def record_task(self, now: float, *, failed: bool) -> bool:
        """Take in the end of a task; return whether the quarantine is over.

        Only probes count: the tasks that were running as the quarantine began
        tell nothing new.
        """
        if not self.is_probe_running:
            return False
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
