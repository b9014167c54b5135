"""A checked document, with typed lookups."""

from typing import Final, TypeVar, cast, final

from berylspread.config.policies import check_policy, find_plugin
from berylspread.config.sections import (
    DocumentSection,
    EnvironmentSection,
    LimitsSection,
    OrganisationSection,
    PolicySection,
    QueueSection,
    RegionSection,
    TeamSection,
    TimingSection,
    section_kinds,
)
from berylspread.config.text import RawDocument, RawSection, parse_text
from berylspread.kernel.errors import Failure, InvalidInput, failure
from berylspread.kernel.options import SectionLocation, read_section
from berylspread.kernel.registry import nearest
from berylspread.model import ZERO, Resources
from berylspread.placement.kernel import PlacementPlugin

SectionT = TypeVar('SectionT', bound=DocumentSection)
PERCENT: Final = 100.0
PLUGIN_KIND: Final = 'plugin'


@failure
class InvalidDocument(Failure):
    """A document has errors; the field ``errors`` has an item for each."""

    name = 'invalid-document'
    http_status = 400
    exit_code = 2

    @classmethod
    def from_errors(
        cls, source: str, errors: list[InvalidInput]
    ) -> 'InvalidDocument':
        """Return the failure for the errors of one document."""
        return cls(
            '; '.join(error.reason for error in errors),
            source=source,
            errors=[
                {'reason': error.reason, **error.fields} for error in errors
            ],
        )


@final
class Document:
    """The sections of one document, by kind and label.

    ``is_readable`` is false if the text is not valid INI.
    """

    __slots__ = ('is_readable', 'plugins', 'sections', 'source')

    def __init__(self, source: str) -> None:
        self.source = source
        self.is_readable = True
        self.sections: dict[str, dict[str, DocumentSection]] = {}
        self.plugins: dict[str, PlacementPlugin] = {}

    def sections_by_label(self, cls: type[SectionT]) -> dict[str, SectionT]:
        """Return the sections of a kind by label."""
        return cast('dict[str, SectionT]', self.sections.get(cls.kind, {}))

    def unlabelled_section(self, cls: type[SectionT]) -> SectionT:
        """Return the unlabelled section of a kind; defaults if it is absent."""
        section = self.sections.get(cls.kind, {}).get('')
        return cast('SectionT', section) if section is not None else cls()

    @property
    def environment(self) -> str:
        """The name of the environment that the document is for."""
        return self.unlabelled_section(EnvironmentSection).name

    @property
    def policy(self) -> PolicySection:
        """The placement plug-ins and weights."""
        return self.unlabelled_section(PolicySection)

    @property
    def limits(self) -> LimitsSection:
        """The sizes of the system's internal structures."""
        return self.unlabelled_section(LimitsSection)

    @property
    def timing(self) -> TimingSection:
        """The durations in seconds."""
        return self.unlabelled_section(TimingSection)

    @property
    def teams(self) -> dict[str, TeamSection]:
        """The teams by name."""
        return self.sections_by_label(TeamSection)

    def team(self, name: str) -> TeamSection | None:
        """Return a team, or ``None``."""
        return self.sections_by_label(TeamSection).get(name)

    @property
    def queues(self) -> dict[str, QueueSection]:
        """The queues by name."""
        return self.sections_by_label(QueueSection)

    def team_limit(self, name: str) -> Resources:
        """Return a team's limit in the whole fleet; 0 means no limit."""
        section = self.team(name)
        return section.limit() if section else ZERO

    def queue(self, name: str) -> QueueSection | None:
        """Return a queue, or ``None``."""
        return self.sections_by_label(QueueSection).get(name)

    @property
    def regions(self) -> dict[str, RegionSection]:
        """The regions by name."""
        return self.sections_by_label(RegionSection)

    @property
    def max_call_deadline_s(self) -> float:
        """The largest deadline of an interactive call, in seconds."""
        return max(
            (
                queue.max_deadline_s
                for queue in self.queues.values()
                if queue.work == 'interactive'
            ),
            default=0.0,
        )

    def plugin_options(self, kind: str, name: str) -> PlacementPlugin | None:
        """Return a plug-in's options, or ``None`` without a section for it."""
        return self.plugins.get(f'{kind} {name}')

    def entitled_share(self, team: str) -> float:
        """Return a team's share of the fleet from 0 to 1; 0 if unknown.

        It is the product of the shares from the team up to the root.
        """
        section = self.team(team)
        if section is None:
            return 0.0
        share = (section.share or 0.0) / PERCENT
        for organisation in self.ancestors(section.organisation):
            share *= (organisation.share or 0.0) / PERCENT
        return share

    def ancestors(self, name: str) -> list[OrganisationSection]:
        """Return an organisation and its ancestors, each at most once."""
        organisations = self.sections_by_label(OrganisationSection)
        ancestors: dict[str, OrganisationSection] = {}
        while name in organisations and name not in ancestors:
            ancestors[name] = organisations[name]
            name = organisations[name].parent
        return list(ancestors.values())


def read_document(
    source: str, text: str, errors: list[InvalidInput]
) -> Document:
    """Return a document's sections; add every error in them to ``errors``.

    Relations between sections are checked by ``parse_document``.
    """
    document = Document(source)
    raw = parse_text(source, text)
    if isinstance(raw, InvalidInput):
        errors.append(raw)
        document.is_readable = False
        return document
    for raw_section in raw.sections:
        _read_section(document, raw_section, errors)
    _require_environment(document, raw, errors)
    return document


def _read_section(
    document: Document, raw: RawSection, errors: list[InvalidInput]
) -> None:
    place = SectionLocation(document.source, raw.header)
    if raw.kind == PLUGIN_KIND:
        _read_plugin(document, raw, errors)
        return
    cls = section_kinds.get(raw.kind)
    if cls is None:
        errors.append(
            _header_error(
                place, 'unknown section', nearest(raw.kind, section_kinds)
            )
        )
        return
    if cls.is_labelled != bool(raw.label):
        problem = 'needs a name' if cls.is_labelled else 'takes no name'
        errors.append(_header_error(place, problem))
        return
    section = read_section(cls, place, raw.label, raw.texts, errors)
    document.sections.setdefault(cls.kind, {})[raw.label] = section
    if isinstance(section, PolicySection):
        errors.extend(check_policy(place, section))


def _read_plugin(
    document: Document, raw: RawSection, errors: list[InvalidInput]
) -> None:
    place = SectionLocation(document.source, raw.header)
    cls = find_plugin(place, raw.label)
    if isinstance(cls, InvalidInput):
        errors.append(cls)
        return
    document.plugins[raw.label] = read_section(
        cls, place, raw.label, raw.texts, errors
    )


def _require_environment(
    document: Document, raw: RawDocument, errors: list[InvalidInput]
) -> None:
    if not any(raw.of_kind(EnvironmentSection.kind)):
        place = SectionLocation(document.source, EnvironmentSection.kind)
        errors.append(_header_error(place, 'missing section'))


def _header_error(
    place: SectionLocation, problem: str, suggestion: str | None = None
) -> InvalidInput:
    return InvalidInput(
        f'{place.source}: [{place.section}]: {problem}',
        source=place.source,
        section=place.section,
        nearest=suggestion,
    )
