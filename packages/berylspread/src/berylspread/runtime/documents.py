"""The production document in force, parsed once for each version."""

from typing import Final, final

from absl import logging

from berylspread.config import Document, parse_document
from berylspread.kernel import Failure
from berylspread.log import ClusterState, ConfigApplied

PRODUCTION: Final = 'production'


@final
class DocumentFollower:
    """Follows the log and keeps the newest production document without errors.

    The document is empty until the log has one.
    """

    __slots__ = ('document', 'state', 'version')

    def __init__(self, state: ClusterState) -> None:
        self.state = state
        self.version = 0
        self.document = Document(PRODUCTION)
        state.subscribe(ConfigApplied, self._on_config_applied)
        state.on_restore(self.refresh)
        self.refresh()

    def refresh(self) -> None:
        """Parse the version in force if it was not parsed before."""
        version = self.state.configs.version_in_force(PRODUCTION)
        if version is None or version.version <= self.version:
            return
        parsed = parse_document(PRODUCTION, version.text)
        self.version = version.version
        if isinstance(parsed, Failure):
            logging.error(
                'ignored production document version %d with errors: %s',
                version.version,
                parsed.reason,
            )
            return
        self.document = parsed

    def _on_config_applied(self, _offset: int, record: ConfigApplied) -> None:
        if record.environment == PRODUCTION:
            self.refresh()
