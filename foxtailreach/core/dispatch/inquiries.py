"""Questions for the admissions that a holder of a meter does not know.

A process that has just started, or was paused, may rank first for a customer
without knowing what others admitted before. They may know it, so it asks them
before its first decision.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.meter import Periods
from foxtailreach.core.units import MILLISECOND_US

# A charge waits this long for answers. Its asker sends it again after 60 ms.
ANSWER_WAIT_US = 50 * MILLISECOND_US
REPEAT_INTERVAL_US = 500 * MILLISECOND_US


@dataclass(slots=True)
class _Inquiry:
    """Question for what happened until `gap_end_us`."""

    gap_end_us: int
    asked_us: int
    wait_until_us: int
    silent_hosts: set[str]


class Inquiries:
    """The questions that were asked, by customer."""

    __slots__ = ('_inquiries',)

    def __init__(self) -> None:
        """Start without questions."""
        self._inquiries: dict[str, _Inquiry] = {}

    def ask(
        self,
        customer: str,
        gap: Periods,
        hosts: Iterable[str],
        now_us: int,
    ) -> list[messages.SendHost]:
        """Ask hosts for the admissions in a gap, if that is due.

        The same gap is asked for again at intervals.
        """
        gap_end_us = max(period.end_us for period in gap)
        known = self._inquiries.get(customer)
        wait_until_us = now_us + ANSWER_WAIT_US
        if known is not None and gap_end_us <= known.gap_end_us:
            if now_us - known.asked_us < REPEAT_INTERVAL_US:
                return []
            wait_until_us = known.wait_until_us
        asked = set(hosts)
        self._inquiries[customer] = _Inquiry(
            gap_end_us, now_us, wait_until_us, asked
        )
        request = messages.MeterRequest(customer)
        return [messages.SendHost(host_id, request) for host_id in asked]

    def record_answer(self, customer: str, host_id: str) -> None:
        """Record that a host has told all that it knows."""
        known = self._inquiries.get(customer)
        if known is not None:
            known.silent_hosts.discard(host_id)

    def is_waiting(self, customer: str, now_us: int) -> bool:
        """Tell whether answers may still come in time for a charge."""
        known = self._inquiries.get(customer)
        if known is None or not known.silent_hosts:
            return False
        return now_us < known.wait_until_us

    def forget(self, customers: Iterable[str]) -> None:
        """Forget the questions for other customers than these."""
        for customer in self._inquiries.keys() - set(customers):
            self._inquiries.pop(customer)
