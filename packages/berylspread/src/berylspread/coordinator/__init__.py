"""The coordinator of the fleet, elected and fenced through the store."""

from berylspread.coordinator.clients import Clients
from berylspread.coordinator.decision_log import (
    DecisionLog,
    make_stdout_nonblocking,
)
from berylspread.coordinator.dependencies import Topics
from berylspread.coordinator.fitness import Capacity
from berylspread.coordinator.messages import (
    AskBacklog,
    AskJobStatus,
    BacklogReply,
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.node import CoordinatingNode

__all__ = (
    'AskBacklog',
    'AskJobStatus',
    'BacklogReply',
    'CancelJob',
    'Capacity',
    'Clients',
    'CoordinatingNode',
    'DecisionLog',
    'JobAccepted',
    'JobCancelled',
    'JobStatusReply',
    'SubmitJob',
    'Topics',
    'make_stdout_nonblocking',
)
