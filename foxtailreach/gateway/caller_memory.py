"""The memory of a host for its callers, and the bounds on its parts."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.core.caller_connections import max_requests_ahead
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.body_memory import BodyBudget
from foxtailreach.gateway.host_memory import HostMemory
from foxtailreach.gateway.http_types import HeaderNames
from foxtailreach.gateway.read_ahead import ReadAhead
from foxtailreach.gateway.request_reader import (
    CheckHead,
    GetLimits,
    ReaderOptions,
)
from foxtailreach.gateway.settings import GatewaySettings


@dataclass(slots=True, frozen=True)
class CallerMemory:
    """All of it in `total`; bodies and answers have bounds of their own."""

    total: HostMemory
    bodies: BodyBudget
    answers: AnswerMemory
    read_ahead: ReadAhead

    @classmethod
    def from_settings(cls, settings: GatewaySettings) -> CallerMemory:
        """Start with nothing held."""
        total = HostMemory(settings.max_caller_memory_bytes)
        return cls(
            total,
            BodyBudget(settings.max_body_memory_bytes, total),
            AnswerMemory(settings.max_answer_memory_bytes, total),
            ReadAhead(total, max_requests_ahead(settings.max_descriptors)),
        )

    def reader_options(
        self, names: HeaderNames, limits: GetLimits, check_head: CheckHead
    ) -> ReaderOptions:
        """Return what all connections of callers share."""
        return ReaderOptions(
            names,
            limits,
            self.bodies,
            self.answers,
            check_head,
            self.read_ahead,
        )

    def gauges(self) -> dict[str, int]:
        """Return what is held now, and how much was given up."""
        return {
            'requests_ahead': self.read_ahead.requests,
            'caller_memory_bytes': self.total.held_bytes,
            'body_memory_bytes': self.bodies.held_bytes,
            'bodies_refused': self.bodies.refused,
            'answer_memory_bytes': self.answers.held_bytes,
            'answers_evicted': self.answers.evicted,
        }
