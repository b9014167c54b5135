"""``berylspread keys``: the keys of the teams."""

from typing import final

from berylspread_cli.client import Client
from berylspread_cli.output import show
from berylspread_cli.texts import texts


@final
class KeyCommands:
    """Create, list and withdraw keys."""

    def __init__(self, client: Client) -> None:
        self._client = client

    @texts('team', 'label')
    def create(self, team: str, label: str = '', *, json: bool = False) -> None:
        """Create a key for a team; the secret is shown only once."""
        found = self._client.post(
            '/v1/admin/keys', {'team': team, 'label': label}
        )
        show(found, as_json=json)

    @texts('team')
    def list(self, team: str = '', *, json: bool = False) -> None:
        """List the keys of one team or of all teams, withdrawn keys last."""
        show(
            self._client.get('/v1/admin/keys', team=team),
            ('key_id', 'team', 'label', 'created_at', 'withdrawn_at'),
            as_json=json,
        )

    @texts('key_id')
    def withdraw(self, key_id: str, *, json: bool = False) -> None:
        """Withdraw a key and wait until no node accepts it any more."""
        show(self._client.delete(f'/v1/admin/keys/{key_id}'), as_json=json)
