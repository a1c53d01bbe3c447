"""A request that waits for a slot."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.core.dispatch.messages import SlotRequest

# Whether a request is surplus to a limit and whether it is late, and its
# priority. The smallest rank is served first.
Rank = tuple[bool, bool, int]


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued request, and when it becomes late or hopeless.

    It is late if it starts after `late_after_us`, and cannot be answered by
    its deadline if it starts after `last_start_us`. `work_us` is its expected
    service time. `sequence` tells apart requests that arrived at the same time.
    """

    host_id: str
    domain: str
    slot_request: SlotRequest
    enqueued_us: int
    sequence: int
    work_us: int
    is_late: bool = False

    @property
    def rank(self) -> Rank:
        """The rank by which the request is served."""
        slot_request = self.slot_request
        return slot_request.is_surplus, self.is_late, slot_request.priority

    @property
    def age_entry(self) -> tuple[int, int, Waiter]:
        """The sort key among requests of the same customer and rank."""
        return self.enqueued_us, self.sequence, self

    @property
    def late_after_us(self) -> int:
        """The last time of a start that meets the objective."""
        left_us = self.slot_request.objective_left_us
        return self.enqueued_us + left_us - self.work_us

    @property
    def last_start_us(self) -> int:
        """The last time of a start that meets the deadline."""
        left_us = self.slot_request.time_left_us
        return self.enqueued_us + left_us - self.work_us
