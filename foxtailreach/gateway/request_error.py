"""Requests that are answered without being served."""

from __future__ import annotations

from http import HTTPStatus

from foxtailreach.core.units import SECOND_US
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.gateway.http_types import CallerAnswer, refusal

OVERLOADED_RETRY_US = SECOND_US


class RequestError(Exception):
    """A request that cannot be accepted; holds the answer to send."""

    def __init__(self, answer: CallerAnswer) -> None:
        """Store the answer."""
        super().__init__(answer.status)
        self.answer = answer


def malformed_answer(status: HTTPStatus) -> CallerAnswer:
    """Build the answer to a request that cannot be accepted as it is."""
    return refusal(
        status,
        Verdict.NOT_RUN,
        Reason.MALFORMED,
        must_close=True,
    )


def overloaded() -> RequestError:
    """Build the error of a request that the host cannot take now."""
    answer = refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Verdict.NOT_RUN,
        Reason.OVERLOAD,
        OVERLOADED_RETRY_US,
        must_close=True,
    )
    return RequestError(answer)


def timed_out() -> RequestError:
    """Build the error of a request that does not arrive in time."""
    return RequestError(malformed_answer(HTTPStatus.REQUEST_TIMEOUT))


def check_size(size_bytes: int, limit_bytes: int) -> None:
    """Raise RequestError on a body over the limit."""
    if size_bytes > limit_bytes:
        raise RequestError(
            malformed_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        )
