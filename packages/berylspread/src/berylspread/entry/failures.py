"""Failures of the entry service."""

from typing import final

from berylspread.kernel.errors import (
    EXIT_CONFLICT,
    EXIT_INPUT,
    EXIT_UNAVAILABLE,
    Failure,
    RunState,
    failure,
)


@final
@failure
class BodyTooLarge(Failure):
    """The body is longer than the queue takes; ``limit`` is in bytes."""

    name = 'body-too-large'
    http_status = 413
    exit_code = EXIT_INPUT


@final
@failure
class BodyTimeout(Failure):
    """The body did not arrive whole in time; ``timeout_s`` is the limit."""

    name = 'body-timeout'
    http_status = 408
    exit_code = EXIT_UNAVAILABLE


@final
@failure
class BodyIncomplete(Failure):
    """The caller closed the connection before the end of the body."""

    name = 'body-incomplete'
    http_status = 400
    exit_code = EXIT_INPUT


@final
@failure
class RequestReused(Failure):
    """The request id belongs to another job; ``job_id`` names it."""

    name = 'request-reused'
    http_status = 409
    exit_code = EXIT_CONFLICT


@final
@failure
class JobNotEnded(Failure):
    """The job has no result yet."""

    name = 'job-not-ended'
    http_status = 409
    exit_code = EXIT_CONFLICT
    run_state = RunState.unknown
