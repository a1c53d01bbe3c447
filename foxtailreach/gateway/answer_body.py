"""The body of a target's answer while it is received."""

from __future__ import annotations

from enum import Enum, auto

from foxtailreach.gateway.target_protocol import ConnectionLostError


class BodyState(Enum):
    """State of a body; the last two are final."""

    RECEIVING = auto()
    WHOLE = auto()
    GIVEN_UP = auto()


class AnswerGivenUpError(ConnectionLostError):
    """The memory of an answer was needed for others."""

    def __init__(self) -> None:
        """Use the text that log lines and traces show."""
        super().__init__('answer was given up, as the memory is used up')


class AnswerBody:
    """Collects the parts of a body, and hands over a whole one only.

    A body that was given up while parts of it were still to be decoded can
    neither grow nor be completed.
    """

    __slots__ = ('_received', '_state')

    def __init__(self) -> None:
        """Start without a part."""
        self._received = bytearray()
        self._state = BodyState.RECEIVING

    def add(self, part: bytes | bytearray) -> None:
        """Append a part; raise AnswerGivenUpError if it was given up."""
        self._check_state()
        self._received += part

    def complete(self) -> bytearray:
        """Return the whole body; raise AnswerGivenUpError if it is not."""
        self._check_state()
        self._state = BodyState.WHOLE
        received, self._received = self._received, bytearray()
        return received

    def give_up(self) -> None:
        """Free what was received, unless the whole body was handed over."""
        if self._state is BodyState.RECEIVING:
            self._state = BodyState.GIVEN_UP
            self._received = bytearray()

    def _check_state(self) -> None:
        if self._state is not BodyState.RECEIVING:
            raise AnswerGivenUpError
