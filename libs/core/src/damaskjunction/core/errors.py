"""Errors and findings.

Validating a document collects every finding with its location and raises them
together as one exception group, ``FindingsError``.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from damaskjunction.core.types import Outcome, Revision


class SourceLocation(NamedTuple):
    """Location of a finding in a document; lines count from 1, 0 is unknown."""

    source: str
    line: int = 0
    key: str = ""

    def __str__(self) -> str:
        position = f"{self.source}:{self.line}" if self.line else self.source
        return f"{position}: {self.key}" if self.key else position


class Finding(NamedTuple):
    """One problem in a document: its location, a message and a hint for fixing it."""

    location: SourceLocation
    message: str
    hint: str = ""

    def __str__(self) -> str:
        text = f"{self.location}: {self.message}"
        return f"{text} ({self.hint})" if self.hint else text


class DamaskjunctionError(Exception):
    """Base class of all errors that the project defines."""


class FindingError(DamaskjunctionError):
    """One finding as a member of a ``FindingsError``."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class FindingsError(ExceptionGroup[FindingError]):
    """All findings of one validation, reported together."""

    @property
    def findings(self) -> tuple[Finding, ...]:
        """The findings in the order in which they were recorded."""
        return tuple(
            error.finding
            for error in self.exceptions
            if isinstance(error, FindingError)
        )


def raise_findings(message: str, findings: Sequence[Finding]) -> None:
    """Raise ``FindingsError`` when there is at least one finding.

    Raises
    ------
    FindingsError
        When ``findings`` is not empty.
    """
    if findings:
        raise FindingsError(message, [FindingError(finding) for finding in findings])


class RequestError(DamaskjunctionError):
    """A request ended without a complete response.

    Parameters
    ----------
    outcome : Outcome
        Whether the request ran, did not run, or may have run.
    reason : str
        Short machine-readable reason, such as ``"overloaded"``.
    detail : str
        Human-readable description, one sentence.
    retry_after_s : float
        Seconds after which the caller may retry; 0 when there is no advice.
    """

    def __init__(
        self,
        outcome: Outcome,
        reason: str,
        detail: str = "",
        *,
        retry_after_s: float = 0.0,
    ) -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.outcome = outcome
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class PlatformError(DamaskjunctionError):
    """Base class of errors of calls to the platform."""


class PlatformUnavailableError(PlatformError):
    """The platform did not accept the call, which therefore had no effect."""


class PlatformUnknownError(PlatformError):
    """The call was sent but no response came; it may have taken effect."""


class ConflictError(PlatformError):
    """A conditional update failed because the object is at another version.

    ``version`` is the stored version (0: the object does not exist), ``value`` the
    stored value and ``operation_id`` the operation that wrote it.
    """

    def __init__(self, version: Revision, value: bytes, operation_id: str) -> None:
        super().__init__(f"object is at version {version}, written by {operation_id!r}")
        self.version = version
        self.value = value
        self.operation_id = operation_id
