"""Failure types of the entry service."""

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
    """The body exceeds the queue's limit; ``limit`` is in bytes."""

    name = 'body-too-large'
    http_status = 413
    exit_code = EXIT_INPUT


@final
@failure
class BodyTimeout(Failure):
    """The complete body did not arrive within ``timeout_s`` seconds."""

    name = 'body-timeout'
    http_status = 408
    exit_code = EXIT_UNAVAILABLE


@final
@failure
class BodyIncomplete(Failure):
    """The caller closed the connection before the body was complete."""

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
