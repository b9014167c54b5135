"""The policy section of a document: the placement plug-ins and their weights.

[policy]
order = composite
waiting = 4
nearness = 1
scorers = best-fit fragmentation spread
"""

from typing import Any, Final

from berylspread.kernel import Section
from berylspread.kernel.options import integer, number, text, words
from berylspread.placement.kernel import MAX_WEIGHT

DEFAULT_CONTROL_COST: Final = 0.2
DEFAULT_CANDIDATES: Final = 4
MAX_CANDIDATES: Final = 256
DEFAULT_SCAN: Final = 32
MAX_SCAN: Final = 1024
DEFAULT_STARVING_S: Final = 300.0
DAY_S: Final = 86_400.0
DEFAULT_FILTERS: Final = (
    'fits',
    'region',
    'zone',
    'avoid-workers',
    'accelerators',
    'health',
    'earmarked',
)
DEFAULT_SCORERS: Final = (
    'best-fit',
    'fragmentation',
    'save-accelerators',
    'spread',
    'health',
)


class PolicySection(Section):
    """The section ``[policy]``."""

    kind = 'policy'

    order: Any = text(default='composite', help='queue order plug-in')
    waiting: Any = number(0, MAX_WEIGHT, default=1, help='weight of waiting')
    packing: Any = number(0, MAX_WEIGHT, default=1, help='weight of packing')
    control_cost: Any = number(
        0,
        MAX_WEIGHT,
        default=DEFAULT_CONTROL_COST,
        help='weight of control cost',
    )
    nearness: Any = number(
        0, MAX_WEIGHT, default=1, help='weight of nearness to share'
    )
    filters: Any = words(default=DEFAULT_FILTERS, help='filter plug-ins')
    scorers: Any = words(default=DEFAULT_SCORERS, help='scorer plug-ins')
    preemption: Any = text(default='cheapest', help='preemption plug-in')
    candidates: Any = integer(
        1,
        MAX_CANDIDATES,
        default=DEFAULT_CANDIDATES,
        help='largest number of workers examined for a decision',
    )
    scan: Any = integer(
        1,
        MAX_SCAN,
        default=DEFAULT_SCAN,
        help='largest number of classes tried when capacity becomes free',
    )
    starving_s: Any = number(
        1,
        DAY_S,
        default=DEFAULT_STARVING_S,
        help='wait in seconds after which a worker is earmarked',
    )


def default_policy() -> PolicySection:
    """Return a policy section with the default of every option."""
    section = PolicySection()
    for key, option in PolicySection.options().items():
        setattr(section, key, option.default)
    return section
