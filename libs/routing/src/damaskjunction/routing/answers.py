"""Assembly of a complete answer from the messages of one or more attempts."""

from __future__ import annotations

from typing import TypeAlias

from damaskjunction.core import Outcome, RequestError
from damaskjunction.routing.messages import PlainAnswer, StreamEnd, Token

AnswerPart: TypeAlias = Token | StreamEnd | PlainAnswer


class AnswerAssembly:
    """Tracks the delivered part of an answer and filters incoming messages.

    Messages of any attempt but the current one, and tokens already delivered, are
    dropped. A missing token, or an end mark that does not match the number of tokens,
    fails the attempt; the answer is then resumed at ``next_position``.

    Parameters
    ----------
    first_position : int, optional
        Index of the first token that the caller wants.
    """

    def __init__(self, first_position: int = 0) -> None:
        self.attempt = 0
        self.next_position = first_position
        self.is_complete = False
        self.n_dropped = 0

    def begin_attempt(self, attempt: int) -> None:
        """Start an attempt; messages of any other attempt are dropped from now on."""
        self.attempt = attempt

    def accept(self, message: AnswerPart) -> AnswerPart | None:
        """Return the message if it must be delivered, None if it is dropped.

        Raises
        ------
        RequestError
            With outcome ``RAN`` when a token is missing or the end mark does not match.
        """
        if self.is_complete or message.attempt != self.attempt:
            self.n_dropped += 1
            return None
        match message:
            case Token():
                return self._accept_token(message)
            case StreamEnd():
                self._check_end(message)
        self.is_complete = True
        return message

    def check_complete(self) -> None:
        """Check that the answer is complete after its attempt has ended.

        Raises
        ------
        RequestError
            With outcome ``UNKNOWN`` when the end mark is missing.
        """
        if not self.is_complete:
            detail = (
                f"stream ended without an end mark after {self.next_position} tokens"
            )
            raise RequestError(Outcome.UNKNOWN, "stream_cut", detail)

    def _accept_token(self, token: Token) -> Token | None:
        if token.position < self.next_position:
            self.n_dropped += 1
            return None
        if token.position > self.next_position:
            detail = f"received token {token.position}, expected {self.next_position}"
            raise RequestError(Outcome.RAN, "tokens_missing", detail)
        self.next_position += 1
        return token

    def _check_end(self, end: StreamEnd) -> None:
        if end.n_tokens != self.next_position:
            detail = (
                f"end mark for {end.n_tokens} tokens after {self.next_position} tokens"
            )
            raise RequestError(Outcome.RAN, "tokens_missing", detail)
