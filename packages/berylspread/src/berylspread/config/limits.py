"""Reads the teams' limits and the regions' weights from a document's text.

The log's fold uses this module, which reads no other options.  So a document of
an older release, or one with options of a newer release, gives the same limits
on every node.
"""

from typing import final

import msgspec

from berylspread.config.sections import RegionSection, SectionT, TeamSection
from berylspread.config.text import RawSection, parse_text
from berylspread.kernel.errors import InvalidInput
from berylspread.kernel.options import SectionLocation, read_section
from berylspread.model import Resources


@final
class FleetLimits(msgspec.Struct, frozen=True):
    """The weight of each region and the limit of each team; 0 is no limit."""

    regions: dict[str, int]
    teams: dict[str, Resources]


def read_limits(text: str) -> FleetLimits | None:
    """Return the limits of a document, or ``None`` if it is not INI text."""
    document = parse_text('document', text)
    if isinstance(document, InvalidInput):
        return None
    regions = {
        raw.label: _read_options(RegionSection, raw).weight
        for raw in document.of_kind(RegionSection.kind)
    }
    teams = {
        raw.label: _read_options(TeamSection, raw).limit()
        for raw in document.of_kind(TeamSection.kind)
    }
    return FleetLimits(regions, teams)


def _read_options(cls: type[SectionT], raw: RawSection) -> SectionT:
    errors: list[InvalidInput] = []
    place = SectionLocation('document', raw.header)
    return read_section(cls, place, raw.label, raw.texts, errors)
