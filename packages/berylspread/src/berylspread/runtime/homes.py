"""The homes of one node and the handlers of their messages."""

from typing import final

from berylspread.calls.home import CallHome
from berylspread.calls.messages import AllowanceAsk, RegisterAsk
from berylspread.jobs.home import JobHome
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import NotOwner, StaleEpoch
from berylspread.log import (
    AllotmentMoved,
    ConfigApplied,
    JobAccepted,
    JobCancelled,
)
from berylspread.model import NodeRef
from berylspread.ownership import Tenure
from berylspread.partition.messages import PullAsk, TaskEvents, UnitEpoch
from berylspread.peers import Message
from berylspread.runtime.context import NodeContext


@final
class HomeRole:
    """Acts as a home for one tenure of its unit."""

    __slots__ = ('calls', 'jobs')

    def __init__(self, context: NodeContext, tenure: Tenure) -> None:
        """Restore the jobs from the log and start."""
        self.jobs = JobHome(context, tenure)
        self.jobs.start()
        self.calls = CallHome(context, self.jobs.unit, self.jobs.quota)

    def close(self) -> None:
        """Stop acting as the home."""
        self.jobs.close()
        self.calls.close()


@final
class Homes:
    """The homes that this node owns, by unit."""

    __slots__ = ('context', 'roles')

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.roles: dict[str, HomeRole] = {}
        state = context.state
        state.subscribe(JobAccepted, self._on_job_accepted)
        state.subscribe(JobCancelled, self._on_job_cancelled)
        state.subscribe(AllotmentMoved, self._on_allotments_changed)
        state.subscribe(ConfigApplied, self._on_allotments_changed)
        state.on_restore(self._on_restore)
        peers = context.peers
        peers.register_handler(PullAsk, self._handle_pull)
        peers.register_handler(TaskEvents, self._handle_task_events)
        peers.register_handler(AllowanceAsk, self._handle_allowance_request)
        peers.register_handler(RegisterAsk, self._handle_register)

    def acquire(self, tenure: Tenure) -> None:
        """Start to act as a home that this node has acquired."""
        self.roles[tenure.unit] = HomeRole(self.context, tenure)

    def lose(self, tenure: Tenure) -> None:
        """Stop acting as a home; a role of another epoch is kept."""
        role = self.roles.get(tenure.unit)
        if role is not None and role.jobs.unit.epoch == tenure.epoch:
            role.close()
            self.roles.pop(tenure.unit)

    def close(self) -> None:
        """Stop acting as every home."""
        for role in self.roles.values():
            role.close()
        self.roles.clear()

    def find_role(self, home: UnitEpoch) -> HomeRole | Failure:
        """Return the role if this node may act as the home in that epoch."""
        role = self.roles.get(home.unit)
        if role is None or not role.jobs.tenure.is_valid(now()):
            return NotOwner('this node is not the home', unit=home.unit)
        if role.jobs.unit.epoch != home.epoch:
            return StaleEpoch('the home has another epoch', unit=home.unit)
        return role

    def _on_job_accepted(self, _offset: int, record: JobAccepted) -> None:
        role = self.roles.get(record.spec.home)
        if role is not None:
            role.jobs.on_job_accepted(record.spec)

    def _on_job_cancelled(self, _offset: int, record: JobCancelled) -> None:
        for role in self.roles.values():
            role.jobs.on_job_cancelled(record)

    def _on_restore(self) -> None:
        """Apply the jobs of a snapshot that replaced a gap in the log."""
        for unit, role in self.roles.items():
            for job in self.context.state.jobs.active_jobs_of(unit):
                role.jobs.on_job_accepted(job.spec)
                if job.cancel_reason is not None:
                    role.jobs.on_job_cancelled(
                        JobCancelled(job.spec.job_id, job.cancel_reason)
                    )
            role.jobs.on_allotments_changed()

    def _on_allotments_changed(self, _offset: int, _record: object) -> None:
        for role in self.roles.values():
            role.jobs.on_allotments_changed()

    async def _handle_pull(
        self, source: NodeRef, request: PullAsk
    ) -> Message | Failure:
        role = self.find_role(request.home)
        return (
            role
            if isinstance(role, Failure)
            else await role.jobs.handle_pull(request)
        )

    async def _handle_task_events(
        self, source: NodeRef, message: TaskEvents
    ) -> Message | Failure:
        role = self.find_role(message.home)
        if isinstance(role, Failure):
            return role
        return await role.jobs.handle_events(message)

    async def _handle_allowance_request(
        self, source: NodeRef, request: AllowanceAsk
    ) -> Message | Failure:
        role = self.find_role(request.home)
        if isinstance(role, Failure):
            return role
        return role.calls.lend(source, request)

    async def _handle_register(
        self, source: NodeRef, request: RegisterAsk
    ) -> Message | Failure:
        role = self.find_role(request.home)
        return (
            role if isinstance(role, Failure) else role.calls.register(request)
        )
