"""Failures of the ledgers."""

from typing import final

from berylspread.kernel.errors import (
    EXIT_CONFLICT,
    EXIT_UNAVAILABLE,
    Failure,
    failure,
)


@final
@failure
class NoCapacity(Failure):
    """The worker has too little free; ``dimension`` names what is short."""

    name = 'no-capacity'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@final
@failure
class WorkerBarred(Failure):
    """The worker takes no new work; ``barriers`` names why."""

    name = 'worker-barred'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@final
@failure
class BookingExpired(Failure):
    """The booking is unknown or lapsed before it was committed."""

    name = 'booking-expired'
    http_status = 409
    exit_code = EXIT_CONFLICT
