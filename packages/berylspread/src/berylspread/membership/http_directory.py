"""The platform's list of VMs over HTTP."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Final, final

import httpx
import msgspec

from berylspread.kernel.errors import EXIT_UNAVAILABLE, Failure, failure
from berylspread.model import Vm

TIMEOUT_S: Final = 5.0
VMS_PATH: Final = '/v1/vms'


@failure
class VmListUnavailable(Failure):
    """The platform's list of VMs could not be read."""

    name = 'vm-list-unavailable'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@final
class HttpDirectory:
    """Client of ``GET /v1/vms``, which returns the VMs as a JSON list."""

    __slots__ = ('client', 'decoder')

    def __init__(self, base_url: str, *, timeout_s: float = TIMEOUT_S) -> None:
        """Create a client of the service at ``base_url``."""
        self.client = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout_s,
            trust_env=False,
        )
        self.decoder = msgspec.json.Decoder(list[Vm])

    async def fetch(self) -> Sequence[Vm] | Failure:
        """Return every listed VM, or ``VmListUnavailable``."""
        try:
            response = await self.client.get(VMS_PATH)
        except httpx.HTTPError as error:
            return VmListUnavailable(f'{type(error).__name__}: {error}')
        if response.status_code != HTTPStatus.OK:
            return VmListUnavailable('refused', status=response.status_code)
        try:
            return self.decoder.decode(response.content)
        except msgspec.DecodeError as error:
            return VmListUnavailable(f'malformed response: {error}')

    async def close(self) -> None:
        """Close the connections."""
        await self.client.aclose()
