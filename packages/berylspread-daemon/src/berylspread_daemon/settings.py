"""The daemon's settings: an INI file that is read once at the start."""

from pathlib import Path
from typing import Final, TypeVar, final

from berylspread.config.text import RawDocument, RawSection, parse_text
from berylspread.kernel import options
from berylspread.kernel.errors import EXIT_INPUT, Failure, InvalidInput, failure
from berylspread.kernel.options import Section, SectionLocation, read_section
from berylspread.kernel.registry import nearest
from berylspread_daemon.option_kinds import (
    address,
    digests,
    identifier,
    url,
)

DAY_S: Final = 86_400.0

SectionT = TypeVar('SectionT', bound=Section)


@final
@failure
class InvalidSettings(Failure):
    """A settings file has errors; the field ``errors`` lists all of them."""

    name = 'invalid-settings'
    http_status = 500
    exit_code = EXIT_INPUT


class NodeSection(Section):
    """The name, region, zone and addresses of this node."""

    kind = 'node'

    name = identifier(help="the VM's name in the platform's list")
    region = identifier()
    zone = identifier(help='availability zone')
    http = address(help='where callers and operators connect')
    peer = address(help='where the other nodes connect')


class LogSection(Section):
    """The platform's log service."""

    kind = 'log'

    address = url()
    region = identifier(help='the region of the log service')
    timeout_s = options.number(0.1, 60, default=5.0)
    append_interval_s = options.number(
        0.005, 10, default=0.1, help='minimum time between two appends'
    )
    retention_s = options.number(
        60,
        365 * DAY_S,
        default=DAY_S,
        help='how long the service keeps records',
    )


class VmsSection(Section):
    """The platform's list of VMs."""

    kind = 'vms'

    address = url()
    timeout_s = options.number(0.1, 60, default=5.0)


class TelemetrySection(Section):
    """Traces, metrics and logs."""

    kind = 'telemetry'

    traces = options.choice('off', 'log', 'otlp', default='log')
    sampled = options.number(
        0, 1, default=0.01, help='share of the traces that start here'
    )
    verbosity = options.choice(
        'debug', 'info', 'warning', 'error', default='info'
    )


class ServiceSection(Section):
    """Limits of the HTTP interface and of the graceful shutdown."""

    kind = 'service'

    body_timeout_s = options.number(0.1, 600, default=5.0)
    max_in_flight = options.integer(
        1, 100_000, default=1_000, help='maximum number of requests in flight'
    )
    balancer_s = options.number(
        0,
        600,
        default=5.0,
        help='time from not ready until no more requests arrive',
    )
    finish_s = options.number(
        0, 3600, default=30.0, help='time for the requests in flight at a stop'
    )


class OperatorsSection(Section):
    """The tokens that give access to the operators' interface."""

    kind = 'operators'

    tokens = digests(
        help='SHA-256 digests of the tokens; if empty, all are refused'
    )


SECTIONS: Final[dict[str, type[Section]]] = {
    cls.kind: cls
    for cls in (
        NodeSection,
        LogSection,
        VmsSection,
        TelemetrySection,
        ServiceSection,
        OperatorsSection,
    )
}


@final
class Settings:
    """All sections of a settings file."""

    __slots__ = ('log', 'node', 'operators', 'service', 'telemetry', 'vms')

    def __init__(
        self,
        *,
        node: NodeSection,
        log: LogSection,
        vms: VmsSection,
        telemetry: TelemetrySection,
        service: ServiceSection,
        operators: OperatorsSection,
    ) -> None:
        self.node = node
        self.log = log
        self.vms = vms
        self.telemetry = telemetry
        self.service = service
        self.operators = operators


def load_settings(path: Path) -> Settings | Failure:
    """Return the settings in a file, or a failure with all errors in it."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return InvalidInput(f'{path}: {error}', source=str(path))
    return parse_settings(str(path), text)


def parse_settings(source: str, text: str) -> Settings | Failure:
    """Return the settings in INI text, or a failure with all errors in it."""
    raw = parse_text(source, text)
    if isinstance(raw, Failure):
        return raw
    errors = [
        _unknown_section(source, found)
        for found in raw.sections
        if found.header not in SECTIONS
    ]
    settings = Settings(
        node=_parse_section(NodeSection, raw, errors),
        log=_parse_section(LogSection, raw, errors),
        vms=_parse_section(VmsSection, raw, errors),
        telemetry=_parse_section(TelemetrySection, raw, errors),
        service=_parse_section(ServiceSection, raw, errors),
        operators=_parse_section(OperatorsSection, raw, errors),
    )
    if not errors:
        return settings
    return InvalidSettings(
        '; '.join(error.reason for error in errors),
        source=source,
        errors=[{'reason': error.reason, **error.fields} for error in errors],
    )


def _parse_section(
    cls: type[SectionT], raw: RawDocument, errors: list[InvalidInput]
) -> SectionT:
    found = next(raw.of_kind(cls.kind), RawSection(cls.kind, {}))
    location = SectionLocation(raw.source, cls.kind)
    return read_section(cls, location, '', found.texts, errors)


def _unknown_section(source: str, found: RawSection) -> InvalidInput:
    suggestion = nearest(found.header, SECTIONS)
    return InvalidInput(
        f'{source}: [{found.header}]: unknown section',
        source=source,
        section=found.header,
        nearest=suggestion,
        allowed=', '.join(SECTIONS),
    )
