"""The HTTP interface for callers, operators and the load balancer."""

from berylspread_daemon.http.app import build_app

__all__ = ('build_app',)
