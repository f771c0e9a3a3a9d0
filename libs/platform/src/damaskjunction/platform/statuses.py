"""What the status of a response of the platform says about the effect of a call."""

from __future__ import annotations

from damaskjunction.core import PlatformUnavailableError, PlatformUnknownError

FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
NOTHING_DONE_STATUS = 503


def check_read(status: int) -> None:
    """Check the status of a read.

    Raises
    ------
    PlatformUnavailableError
        If the read failed.
    """
    if status >= FIRST_ERROR_STATUS:
        raise PlatformUnavailableError(f"platform returned status {status}")


def check_write(status: int) -> None:
    """Check the status of a write.

    Raises
    ------
    PlatformUnavailableError
        If the write had no effect.
    PlatformUnknownError
        If the write may have taken effect: the status is a server error other than 503.
    """
    if status >= FIRST_SERVER_ERROR_STATUS and status != NOTHING_DONE_STATUS:
        raise PlatformUnknownError(f"platform returned status {status}")
    check_read(status)
