"""The kinds of sections that a document may have, and their options."""

from typing import Final, TypeVar

from berylspread.config.environments import ENVIRONMENTS
from berylspread.kernel import options
from berylspread.kernel.options import Section
from berylspread.model import Resources
from berylspread.placement.policy import PolicySection as PlacementPolicy

MILLI_PER_CORE: Final = 1000
MIB_PER_GIB: Final = 1024
MAX_CORES: Final = 1_000_000
MAX_GIB: Final = 100_000_000
MAX_DEVICES: Final = 1_000_000
MAX_TASKS: Final = 1_000_000
DAY_S: Final = 86_400.0

SectionT = TypeVar('SectionT', bound='DocumentSection')


class DocumentSection(Section):
    """Base of a document's sections; a labelled kind may occur repeatedly."""

    is_labelled: bool = True


section_kinds: Final[dict[str, type[DocumentSection]]] = {}


def document_section(cls: type[SectionT]) -> type[SectionT]:
    """Register a kind of section; a class decorator."""
    known = section_kinds.setdefault(cls.kind, cls)
    if known is not cls:
        raise TypeError(f'section kind {cls.kind!r} is taken by {known!r}')
    return cls


class LimitOptions(DocumentSection):
    """The options of an upper limit; 0 means no limit."""

    limit_cpu = options.number(0, MAX_CORES, default=0.0, help='cores')
    limit_memory_gib = options.number(0, MAX_GIB, default=0.0, help='GiB')
    limit_accelerators = options.integer(0, MAX_DEVICES, default=0)
    limit_tasks = options.integer(
        0, MAX_TASKS, default=0, help='tasks and calls at one time'
    )

    def limit(self) -> Resources:
        """Return the limit; each task or call counts as one slot."""
        return Resources(
            round(self.limit_cpu * MILLI_PER_CORE),
            round(self.limit_memory_gib * MIB_PER_GIB),
            self.limit_accelerators,
            self.limit_tasks,
        )


@document_section
class EnvironmentSection(DocumentSection):
    """The environment that the document is for."""

    kind = 'environment'
    is_labelled = False

    name = options.choice(*ENVIRONMENTS)
    description = options.text(default='')


@document_section
class RegionSection(DocumentSection):
    """A region; limits are first split over the regions by weight."""

    kind = 'region'

    weight = options.integer(0, 1_000_000, default=1)


@document_section
class ZoneSection(DocumentSection):
    """An availability zone."""

    kind = 'zone'

    region = options.text()


@document_section
class OrganisationSection(DocumentSection):
    """An organisation; its share is a percentage of its parent or the fleet."""

    kind = 'organisation'

    share = options.number(0, 100, help='percent')
    parent = options.text(
        default='', help='an organisation; leave out for none'
    )


@document_section
class TeamSection(LimitOptions):
    """A team; its share is a percentage of its organisation's."""

    kind = 'team'

    organisation = options.text()
    share = options.number(0, 100, help='percent')


@document_section
class QueueSection(DocumentSection):
    """A queue: who may use it, and the resources of one task or call."""

    kind = 'queue'

    team = options.text(default='', help='leave out on a queue open to all')
    open = options.flag(default=False)
    work = options.choice('interactive', 'batch', 'gang', 'service', key='kind')
    region = options.text(default='', help='leave out for the region of entry')
    cpu = options.number(0, MAX_CORES, default=1.0, help='cores')
    memory_gib = options.number(0, MAX_GIB, default=1.0, help='GiB')
    accelerators = options.integer(0, MAX_DEVICES, default=0)
    slots = options.integer(0, 1_000, default=1)
    priority = options.integer(0, 100, default=0)
    default_deadline_s = options.number(0.001, 30 * DAY_S, default=30.0)
    max_deadline_s = options.number(0.001, 30 * DAY_S, default=DAY_S)
    idempotent = options.flag(default=True)
    preemptible = options.flag(default=True)
    max_body_kib = options.integer(1, 65_536, default=256)
    max_tasks = options.integer(1, 100_000, default=10_000)
    max_attempts = options.integer(1, 100, default=3)

    def shape(self) -> Resources:
        """Return the resources that one task or call needs."""
        return Resources(
            round(self.cpu * MILLI_PER_CORE),
            round(self.memory_gib * MIB_PER_GIB),
            self.accelerators,
            self.slots,
        )


@document_section
class PolicySection(PlacementPolicy, DocumentSection):
    """The placement plug-ins and the weights of the measures."""

    kind = 'policy'
    is_labelled = False


@document_section
class LimitsSection(DocumentSection):
    """Sizes of the system's internal structures and budgets."""

    kind = 'limits'
    is_labelled = False

    shards = options.integer(1, 1024, default=4, help='job homes in a region')


@document_section
class TimingSection(DocumentSection):
    """Durations in seconds."""

    kind = 'timing'
    is_labelled = False

    lease_s = options.number(1, 3600, default=15.0)


@document_section
class WorkerClassSection(DocumentSection):
    """A class of workers, used to check that a shape can be placed at all."""

    kind = 'worker-class'

    cpu = options.number(0, MAX_CORES, help='cores')
    memory_gib = options.number(0, MAX_GIB, help='GiB')
    accelerators = options.integer(0, MAX_DEVICES, default=0)
    slots = options.integer(0, 100_000, default=8)

    def capacity(self) -> Resources:
        """Return the capacity of one worker of the class."""
        return Resources(
            round(self.cpu * MILLI_PER_CORE),
            round(self.memory_gib * MIB_PER_GIB),
            self.accelerators,
            self.slots,
        )
