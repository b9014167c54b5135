"""The operators' HTTP interface; each request needs an operator's token."""

from typing import Any

import msgspec
from litestar import Controller, delete, get, post
from litestar.connection import ASGIConnection
from litestar.handlers import BaseRouteHandler
from litestar.status_codes import HTTP_200_OK

from berylspread.entry.service import EntryService
from berylspread.entry.views import (
    AppliedView,
    CheckView,
    ConfigInput,
    ConfigView,
    DiffView,
    DrainView,
    KeyView,
    NewKeyView,
    NodeVersionView,
    NodeView,
    PromoteInput,
    QueueView,
    StatusView,
    TeamView,
    TicketView,
    WorkerView,
)
from berylspread_daemon.http.params import Entry
from berylspread_daemon.http.problems import RefusedError, unwrap


class KeyInput(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The input of a request to create a key."""

    team: str
    label: str = ''


class DrainInput(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The VM to drain; ``undo`` cancels its drain."""

    vm: str
    undo: bool = False


def require_operator(
    connection: ASGIConnection[Any, Any, Any, Any], _handler: BaseRouteHandler
) -> None:
    """Raise ``RefusedError`` without an operator's token; a litestar guard."""
    entry: EntryService = connection.app.state['entry']
    refusal = entry.operators.check_token(
        connection.headers.get('Authorization', '')
    )
    if refusal is not None:
        raise RefusedError(refusal)


class ConfigController(Controller):
    """The configuration document of an environment."""

    path = '/v1/admin/config/{environment:str}'
    tags = ('configuration',)
    guards = (require_operator,)

    @get('/', summary='Show the document in force')
    async def show(self, entry: Entry, environment: str) -> ConfigView:
        """Return the document in force and its version."""
        return unwrap(entry.config.current_document(environment))

    @post('/check', status_code=HTTP_200_OK, summary='Check a document')
    async def check(
        self, entry: Entry, environment: str, data: ConfigInput
    ) -> CheckView:
        """Return the warnings about a document; refuse it if it has errors."""
        return unwrap(await entry.config.check_document(environment, data))

    @post('/diff', status_code=HTTP_200_OK, summary='Compare a document')
    async def diff(
        self, entry: Entry, environment: str, data: ConfigInput
    ) -> DiffView:
        """Return the changes and their effects on the recorded demand."""
        return unwrap(entry.config.compare_document(environment, data))

    @post('/apply', status_code=HTTP_200_OK, summary='Apply a document')
    async def apply(
        self, entry: Entry, environment: str, data: ConfigInput
    ) -> AppliedView:
        """Put a document in force if its base version is still in force."""
        return unwrap(await entry.config.apply_document(environment, data))

    @get('/history', summary='List the versions')
    async def history(self, entry: Entry, environment: str) -> list[ConfigView]:
        """Return the stored versions, oldest first."""
        return unwrap(entry.config.list_versions(environment))

    @get('/status', summary='Show the version on each node')
    async def status(
        self, entry: Entry, environment: str
    ) -> list[NodeVersionView]:
        """Request the version in force from each node."""
        return unwrap(await entry.config.list_node_versions(environment))


class AdminController(Controller):
    """Operations on the fleet, the keys and the help desk."""

    path = '/v1/admin'
    tags = ('operators',)
    guards = (require_operator,)

    @post('/promote', status_code=HTTP_200_OK, summary='Promote the trial')
    async def promote(self, entry: Entry, data: PromoteInput) -> AppliedView:
        """Put the trial document in force in production."""
        return unwrap(await entry.config.promote_trial(data))

    @get('/status', summary='Show the whole system in short')
    async def status(self, entry: Entry) -> StatusView:
        """Request the status of each node and combine the replies."""
        return await entry.fleet.system_status()

    @get('/nodes', summary='List the entry nodes')
    async def nodes(self, entry: Entry) -> list[NodeView]:
        """Request the state of each node."""
        return await entry.fleet.nodes()

    @get('/workers', summary='List the workers')
    async def workers(self, entry: Entry) -> list[WorkerView]:
        """Return the workers in the platform's list with their owners."""
        return entry.fleet.workers()

    @get('/teams', summary='List the teams')
    async def teams(self, entry: Entry) -> list[TeamView]:
        """Return the teams of the document in force."""
        return entry.fleet.teams()

    @get('/queues', summary='List the queues')
    async def queues(self, entry: Entry) -> list[QueueView]:
        """Return the queues of the document in force."""
        return entry.fleet.queues()

    @get('/tickets', summary='List the tickets of the help desk')
    async def tickets(self, entry: Entry) -> list[TicketView]:
        """Request the tickets of each node; return them newest first."""
        return await entry.fleet.tickets()

    @get('/keys', summary='List keys')
    async def keys(self, entry: Entry, team: str = '') -> list[KeyView]:
        """Return the keys of a team, or of all teams, without their secrets."""
        return entry.keys.list_keys(team)

    @post('/keys', summary='Create a key')
    async def create_key(self, entry: Entry, data: KeyInput) -> NewKeyView:
        """Return the new key; no other request returns its secret."""
        return unwrap(await entry.keys.create_key(data.team, data.label))

    @delete(
        '/keys/{key_id:str}',
        status_code=HTTP_200_OK,
        summary='Withdraw a key',
    )
    async def withdraw_key(self, entry: Entry, key_id: str) -> KeyView:
        """Withdraw a key; return once no node accepts it any more."""
        return unwrap(await entry.keys.withdraw_key(key_id))

    @post('/drain', status_code=HTTP_200_OK, summary='Drain a VM')
    async def drain(self, entry: Entry, data: DrainInput) -> DrainView:
        """Stop giving new work to a VM, or cancel its drain."""
        return unwrap(await entry.drains.request_drain(data.vm, undo=data.undo))
