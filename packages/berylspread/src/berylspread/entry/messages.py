"""What entry nodes ask of homes and of each other."""

from typing import final

import msgspec

from berylspread.entry.views import JobView, TicketView, WhyView
from berylspread.model import Resources
from berylspread.peers import Message, message


@message
@final
class JobsAsk(Message, frozen=True, tag=True):
    """Ask a home for its jobs by name."""

    job_ids: list[str]


@message
@final
class JobsReply(Message, frozen=True, tag=True):
    """The jobs that the home knows, in the order asked."""

    jobs: list[JobView]


@message
@final
class WhyAsk(Message, frozen=True, tag=True):
    """Ask a home why tasks of a job wait."""

    job_id: str


@message
@final
class WhyReply(Message, frozen=True, tag=True):
    """Why tasks of a job wait."""

    why: WhyView


@message
@final
class StatusAsk(Message, frozen=True, tag=True):
    """Ask a node how it is."""


@message
@final
class StatusReply(Message, frozen=True, tag=True):
    """A node's own state; ``versions`` are those in force by environment.

    ``used`` is what each team runs, as the homes on the node count it.
    """

    ready: bool
    log_offset: int
    versions: dict[str, int]
    units: list[str]
    violations: dict[str, int]
    used: dict[str, Resources] = {}


@message
@final
class TicketsAsk(Message, frozen=True, tag=True):
    """Ask a node for its tickets."""


@message
@final
class TicketsReply(Message, frozen=True, tag=True):
    """A node's tickets, and how many it has opened of each category."""

    tickets: list[TicketView]
    opened: dict[str, int] = msgspec.field(default_factory=dict)
