"""Assembly of a whole answer from the messages of one or more attempts."""

from __future__ import annotations

from typing import TypeAlias

from damaskjunction.core import Outcome, RequestError
from damaskjunction.routing.messages import PlainAnswer, StreamEnd, Token

AnswerPart: TypeAlias = Token | StreamEnd | PlainAnswer


class AnswerAssembly:
    """What of an answer has been delivered, and which message comes next.

    Messages of another attempt than the current one, and tokens that were delivered
    already, are dropped. A gap or an end mark that does not match the number of
    tokens breaks the attempt, which is resumed at ``next_position``.

    Parameters
    ----------
    first_position : int, optional
        Index of the first token that the caller wants.
    """

    def __init__(self, first_position: int = 0) -> None:
        self.attempt = 0
        self.next_position = first_position
        self.is_whole = False
        self.n_dropped = 0

    def begin(self, attempt: int) -> None:
        """Take messages of this attempt from now on, and of no earlier one."""
        self.attempt = attempt

    def take(self, message: AnswerPart) -> AnswerPart | None:
        """Return the message if it is to be delivered, None if it is dropped.

        Raises
        ------
        RequestError
            With outcome ``RAN`` when the attempt cannot complete the answer.
        """
        if self.is_whole or message.attempt != self.attempt:
            self.n_dropped += 1
            return None
        match message:
            case Token():
                return self._take_token(message)
            case StreamEnd():
                self._check_end(message)
        self.is_whole = True
        return message

    def check_whole(self) -> None:
        """Check that the attempt which ended has completed the answer.

        Raises
        ------
        RequestError
            With outcome ``UNKNOWN`` when its end mark is missing.
        """
        if not self.is_whole:
            detail = f"no end mark after {self.next_position} tokens"
            raise RequestError(Outcome.UNKNOWN, "stream_cut", detail)

    def _take_token(self, token: Token) -> Token | None:
        if token.position < self.next_position:
            self.n_dropped += 1
            return None
        if token.position > self.next_position:
            detail = f"token {token.position} came, not {self.next_position}"
            raise RequestError(Outcome.RAN, "tokens_missing", detail)
        self.next_position += 1
        return token

    def _check_end(self, end: StreamEnd) -> None:
        if end.n_tokens != self.next_position:
            detail = f"end mark of {end.n_tokens} after {self.next_position} tokens"
            raise RequestError(Outcome.RAN, "tokens_missing", detail)
