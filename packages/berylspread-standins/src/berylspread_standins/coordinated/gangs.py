"""Gangs: tasks on any workers that work and end only together."""

from typing import TYPE_CHECKING, Final, final

from berylspread.kernel.clock import now

if TYPE_CHECKING:
    from berylspread_standins.coordinated.worker import RunLog, WorkerStandin

#: How long a member waits for the others.
GANG_S: Final = 2.0
#: The work of a member before it fails.
FAILS_AFTER_S: Final = 0.5


@final
class Gang:
    """The members of one run of a gang."""

    __slots__ = ('is_broken', 'members', 'size')

    def __init__(self, size: int) -> None:
        """Wait for ``size`` members."""
        self.size = size
        self.is_broken = False
        self.members: dict[str, tuple[WorkerStandin, RunLog]] = {}

    def end_of(self, log: 'RunLog') -> str:
        """Return how a member ends now, or nothing if it goes on."""
        if self.is_broken:
            return 'broken'
        if self.is_whole():
            return 'done' if self._is_done() else ''
        return 'alone' if now() - log.started_at > GANG_S else ''

    def is_whole(self) -> bool:
        """Return whether all members are present, so that they work."""
        return len(self.members) == self.size

    def _is_done(self) -> bool:
        return all(
            log.left_s <= 0 and log.outcome != 'failed'
            for _, log in self.members.values()
        )


@final
class Gangs:
    """The gangs of a platform; ``sizes`` names the steps that are gangs.

    ``failing`` holds the task and the run of each member that fails; those of
    one run fail together.
    """

    __slots__ = ('by_run', 'failing', 'sizes')

    def __init__(self) -> None:
        """Know no gang."""
        self.sizes: dict[str, int] = {}
        self.failing: set[tuple[str, int]] = set()
        self.by_run: dict[tuple[str, int], Gang] = {}

    def join(self, worker: 'WorkerStandin', log: 'RunLog') -> Gang | None:
        """Add a run to its gang, if its step is one."""
        step = log.task.rpartition('.')[0]
        size = self.sizes.get(step)
        if size is None:
            return None
        gang = self.by_run.setdefault((step, log.run), Gang(size))
        gang.members[log.task] = (worker, log)
        return gang

    def peers_of(
        self, log: 'RunLog', end: str
    ) -> list[tuple['WorkerStandin', 'RunLog']]:
        """Return the members that end with one that ends as ``end``."""
        gang = self.find(log)
        if gang is None or end not in {'done', 'failed'}:
            return []
        return [
            (worker, member)
            for worker, member in gang.members.values()
            if end == 'done' or (member.task, member.run) in self.failing
        ]

    def find(self, log: 'RunLog') -> Gang | None:
        """Return the gang of a run."""
        return self.by_run.get((log.task.rpartition('.')[0], log.run))
