"""Messages that entry nodes send to homes and to each other."""

from typing import final

import msgspec

from berylspread.entry.views import JobView, TicketView, WhyView
from berylspread.model import Resources
from berylspread.peers import Message, message


@message
@final
class JobsAsk(Message, frozen=True, tag=True):
    """Requests the views of jobs from their home, by job id."""

    job_ids: list[str]


@message
@final
class JobsReply(Message, frozen=True, tag=True):
    """The requested jobs that the home has, in the order of the request."""

    jobs: list[JobView]


@message
@final
class WhyAsk(Message, frozen=True, tag=True):
    """Requests from a home why tasks of a job are pending."""

    job_id: str


@message
@final
class WhyReply(Message, frozen=True, tag=True):
    """The reasons why tasks of a job are pending."""

    why: WhyView


@message
@final
class StatusAsk(Message, frozen=True, tag=True):
    """Requests the status of a node."""


@message
@final
class StatusReply(Message, frozen=True, tag=True):
    """The status of a node.

    ``versions`` holds the document version in force by environment, and
    ``used`` the resources that each team uses, as counted by the node's homes.
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
    """Requests the tickets of a node."""


@message
@final
class TicketsReply(Message, frozen=True, tag=True):
    """A node's tickets, and the number that it has opened by category."""

    tickets: list[TicketView]
    opened: dict[str, int] = msgspec.field(default_factory=dict)
