"""Administration of configuration documents and team keys."""

import asyncio
import collections
import contextlib
from typing import Final, final

from berylspread.config import Document, diff, find_warnings, parse_document
from berylspread.config.environments import ENVIRONMENTS
from berylspread.config.evaluation import Demand, evaluate
from berylspread.config.operations import (
    Operations,
    Submission,
    check_submission,
)
from berylspread.entry.fleet import FleetViews
from berylspread.entry.views import (
    AppliedView,
    ChangeView,
    CheckView,
    ConfigInput,
    ConfigView,
    DiffView,
    KeyView,
    NewKeyView,
    NodeVersionView,
    PromoteInput,
)
from berylspread.kernel.errors import Failure, UnknownName
from berylspread.kernel.registry import nearest
from berylspread.log.folds import DocumentVersion, TeamKey
from berylspread.model import JobSpec, Resources
from berylspread.runtime import NodeContext

NO_ANSWER_VERSION: Final = -1
READ_BACK_TIMEOUT_S: Final = 5.0
READ_BACK_INTERVAL_S: Final = 0.05


@final
class ConfigAdministration:
    """Checks, compares, applies and promotes configuration documents."""

    __slots__ = ('context', 'fleet', 'operations')

    def __init__(
        self, context: NodeContext, operations: Operations, fleet: FleetViews
    ) -> None:
        self.context = context
        self.operations = operations
        self.fleet = fleet

    def current_document(self, environment: str) -> ConfigView | Failure:
        """Return the document in force; its version is 0 if there is none."""
        unknown = _check_environment(environment)
        if unknown is not None:
            return unknown
        version = self.context.state.configs.version_in_force(environment)
        if version is None:
            return ConfigView(environment, 0)
        return _config_view(environment, version)

    async def check_document(
        self, environment: str, document: ConfigInput
    ) -> CheckView | Failure:
        """Return the warnings for a document, or why it cannot be applied."""
        unknown = _check_environment(environment)
        if unknown is not None:
            return unknown
        problem = check_submission(
            _submission(environment, document),
            await self._used_by_team(document),
            self.context.document,
        )
        if problem is not None:
            return problem
        parsed = parse_document(environment, document.text)
        if isinstance(parsed, Failure):
            return parsed
        return CheckView(
            environment,
            sum(len(labels) for labels in parsed.sections.values()),
            [
                f'[{warning.section}] {warning.reason}'
                for warning in find_warnings(parsed)
            ],
        )

    def compare_document(
        self, environment: str, document: ConfigInput
    ) -> DiffView | Failure:
        """Return the differences from the document in force and their effects.

        The effects are estimated from the jobs that the log still holds.
        """
        current = self.current_document(environment)
        if isinstance(current, Failure):
            return current
        changes = diff(current.text, document.text)
        if isinstance(changes, Failure):
            return changes
        after = parse_document(environment, document.text)
        if isinstance(after, Failure):
            return after
        before = parse_document(environment, current.text)
        if isinstance(before, Failure):
            before = Document(environment)
        return DiffView(
            environment,
            current.version,
            [
                ChangeView(
                    change.section, change.option, change.before, change.after
                )
                for change in changes
            ],
            evaluate(before, after, self._recorded_demand()),
        )

    async def apply_document(
        self, environment: str, document: ConfigInput
    ) -> AppliedView | Failure:
        """Put a document in force if its base version is still in force."""
        unknown = _check_environment(environment)
        if unknown is not None:
            return unknown
        version = await self.operations.apply(
            _submission(environment, document),
            await self._used_by_team(document),
        )
        if isinstance(version, Failure):
            return version
        return AppliedView(environment, version.version)

    async def promote_trial(
        self, promotion: PromoteInput
    ) -> AppliedView | Failure:
        """Put the document of the trial environment in force in production."""
        version = await self.operations.promote(
            promotion.trial_version,
            promotion.base,
            promotion.author,
            promotion.note,
        )
        if isinstance(version, Failure):
            return version
        return AppliedView('production', version.version)

    def list_versions(self, environment: str) -> list[ConfigView] | Failure:
        """Return the retained versions, oldest first, without their texts."""
        unknown = _check_environment(environment)
        if unknown is not None:
            return unknown
        return [
            _config_view(environment, version, with_text=False)
            for version in self.operations.history(environment)
        ]

    async def list_node_versions(
        self, environment: str
    ) -> list[NodeVersionView] | Failure:
        """Return the version in force on each node; -1 without a reply."""
        unknown = _check_environment(environment)
        if unknown is not None:
            return unknown
        return [
            NodeVersionView(
                node.node,
                node.versions.get(environment, 0)
                if node.answered
                else NO_ANSWER_VERSION,
                node.log_offset,
            )
            for node in await self.fleet.nodes()
        ]

    async def _used_by_team(
        self, document: ConfigInput
    ) -> dict[str, Resources]:
        return {} if document.force else await self.fleet.used_by_team()

    def _recorded_demand(self) -> list[Demand]:
        jobs = self.context.state.jobs
        peaks: collections.Counter[tuple[str, str, Resources]] = (
            collections.Counter()
        )
        submitted: collections.Counter[tuple[str, str, Resources]] = (
            collections.Counter()
        )
        for active in jobs.active.values():
            peaks[_demand_key(active.spec)] += active.spec.tasks
            submitted[_demand_key(active.spec)] += 1
        for ended in jobs.ended.values():
            submitted[_demand_key(ended.spec)] += 1
        return [
            Demand(team, queue, shape, peaks[team, queue, shape], count)
            for (team, queue, shape), count in submitted.items()
        ]


@final
class KeyAdministration:
    """Creates, lists and withdraws the keys of teams."""

    __slots__ = ('context', 'operations')

    def __init__(self, context: NodeContext, operations: Operations) -> None:
        self.context = context
        self.operations = operations

    async def create_key(
        self, team: str, label: str = ''
    ) -> NewKeyView | Failure:
        """Create a key and return it with its secret, which is not stored.

        This waits up to ``READ_BACK_TIMEOUT_S`` until this node has read the
        key from the log and accepts it.  Other nodes accept it once they have
        read it.
        """
        created = await self.operations.create_key(team, label)
        if isinstance(created, Failure):
            return created
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                await self._wait_for_key(created.record.key_id)
        return NewKeyView(created.record.key_id, team, created.text)

    def list_keys(self, team: str = '') -> list[KeyView]:
        """Return the keys of a team, or of all teams, withdrawn keys last."""
        keys = self.context.state.keys
        return [
            _key_view(key)
            for key in (*keys.active.values(), *keys.withdrawn.values())
            if team in {'', key.team}
        ]

    async def withdraw_key(self, key_id: str) -> KeyView | Failure:
        """Withdraw a key; return once no node accepts it any more."""
        key = await self.operations.withdraw_key(key_id)
        return key if isinstance(key, Failure) else _key_view(key)

    async def _wait_for_key(self, key_id: str) -> None:
        while self.context.state.keys.find_key(key_id) is None:
            await asyncio.sleep(READ_BACK_INTERVAL_S)


def _key_view(key: TeamKey) -> KeyView:
    return KeyView(
        key.key_id, key.team, key.label, key.created_at, key.withdrawn_at
    )


def _demand_key(spec: JobSpec) -> tuple[str, str, Resources]:
    return spec.team, spec.queue, spec.shape


def _submission(environment: str, document: ConfigInput) -> Submission:
    return Submission(
        environment,
        document.base,
        document.text,
        document.author,
        document.note,
    )


def _config_view(
    environment: str, version: DocumentVersion, *, with_text: bool = True
) -> ConfigView:
    return ConfigView(
        environment,
        version.version,
        version.text if with_text else '',
        version.author,
        version.note,
        version.applied_at,
    )


def _check_environment(environment: str) -> UnknownName | None:
    if environment in ENVIRONMENTS:
        return None
    return UnknownName(
        f'no environment is called {environment!r}',
        kind='environment',
        key=environment,
        nearest=nearest(environment, ENVIRONMENTS),
    )
