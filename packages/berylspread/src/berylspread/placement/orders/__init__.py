"""Queue orders; importing this package registers them."""

from berylspread.placement.orders.composite import CompositeOrder
from berylspread.placement.orders.deadline import EarliestDeadlineOrder
from berylspread.placement.orders.fair_share import FairShareOrder
from berylspread.placement.orders.fifo import FifoOrder
from berylspread.placement.orders.priority import PriorityOrder

__all__ = (
    'CompositeOrder',
    'EarliestDeadlineOrder',
    'FairShareOrder',
    'FifoOrder',
    'PriorityOrder',
)
