"""Stand-ins for the platform: log service, VM list, workers and network."""

from berylspread_standins.gate import Gate
from berylspread_standins.local_workers import LocalWorkers, WorkerLinkFaults
from berylspread_standins.log_service import (
    LocalLog,
    LogFaults,
    LogService,
    Retention,
)
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.observer import (
    Execution,
    LimitHistory,
    Observer,
    Violation,
)
from berylspread_standins.peer_network import LocalPeers, PeerNetwork
from berylspread_standins.vm_list import LocalDirectory, VmList
from berylspread_standins.worker import Checks, Worker, WorkerFaults
from berylspread_standins.workload import Workload, dump_workload

__all__ = (
    'Checks',
    'Endpoint',
    'Execution',
    'Gate',
    'LimitHistory',
    'LocalDirectory',
    'LocalLog',
    'LocalPeers',
    'LocalWorkers',
    'LogFaults',
    'LogService',
    'Network',
    'Observer',
    'PeerNetwork',
    'Retention',
    'Violation',
    'VmList',
    'Worker',
    'WorkerFaults',
    'WorkerLinkFaults',
    'Workload',
    'dump_workload',
)
