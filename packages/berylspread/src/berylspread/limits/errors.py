"""The failures that the ledgers return."""

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
    """The worker has too little free capacity in ``dimension``."""

    name = 'no-capacity'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@final
@failure
class WorkerBarred(Failure):
    """The worker takes no new work; ``barriers`` names the reasons."""

    name = 'worker-barred'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@final
@failure
class BookingExpired(Failure):
    """The hold is unknown or lapsed before it was committed."""

    name = 'booking-expired'
    http_status = 409
    exit_code = EXIT_CONFLICT
