"""Builds the entry service of a node."""

import asyncio
from typing import Final, final

from berylspread.config.operations import Operations
from berylspread.config.vouching import KeyGuard
from berylspread.entry.drains import DrainedDirectory
from berylspread.entry.service import EntryService
from berylspread.jobs.describe import JobDescriber, used_by_team
from berylspread.jobs.home import JobHome
from berylspread.jobs.home_monitor import HomeMonitor
from berylspread.model import Resources
from berylspread.runtime import run_periodically
from berylspread.runtime.node import Node

KEY_TRUST_S: Final = 5.0
MONITOR_INTERVAL_S: Final = 1.0


@final
class NodeEntry:
    """The entry service of a node and its background tasks."""

    __slots__ = ('guard', 'home_monitor', 'node', 'service', 'tasks')

    def __init__(
        self,
        node: Node,
        *,
        operator_digests: tuple[str, ...] = (),
        key_trust_s: float = KEY_TRUST_S,
    ) -> None:
        """Build the service; the node must not have been started yet."""
        self.node = node
        self.tasks: list[asyncio.Task[None]] = []
        context = node.context
        node.membership.directory = DrainedDirectory(
            node.membership.directory, node.state
        )
        self.guard = KeyGuard(
            ref=context.ref,
            reader=node.reader,
            peers=context.peers,
            membership=context.membership,
            store_region=node.settings.store_region,
            trust_duration_s=key_trust_s,
        )
        self.service = EntryService(
            context,
            router=node.call_router,
            guard=self.guard,
            operations=Operations(
                node.appender, node.reader, self.guard, context.wall
            ),
            describer=JobDescriber(self._find_home),
            used_by_team=self._used_by_team,
            is_ready=lambda: node.is_ready,
            operator_digests=operator_digests,
        )

        self.home_monitor = HomeMonitor(self.service.tickets, self._job_homes)

    def start(self) -> None:
        """Start the tasks that renew the trust in keys and open tickets."""
        self.tasks = [
            asyncio.create_task(self.guard.run(), name='key guard'),
            asyncio.create_task(
                run_periodically(
                    MONITOR_INTERVAL_S, self.home_monitor.run_round, 'help desk'
                ),
                name='help desk',
            ),
        ]

    async def close(self) -> None:
        """Stop the background tasks; the node itself keeps running."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    def _find_home(self, unit: str) -> JobHome | None:
        role = self.node.homes.roles.get(unit)
        return role.jobs if role else None

    def _used_by_team(self) -> dict[str, Resources]:
        return used_by_team(self._job_homes())

    def _job_homes(self) -> list[JobHome]:
        return [role.jobs for role in self.node.homes.roles.values()]
