"""Tracks the health of one target by the outcomes of its requests.

Load pattern: targets fail most requests for seconds at a time while their
health check passes. So only outcomes show whether a target is healthy, and
older outcomes say less.
"""

from __future__ import annotations

import enum

from foxtailreach.core.dispatch.budgets import TokenBucket
from foxtailreach.core.dispatch.deployment import ServiceSpec, TargetSpec
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.dispatch.request_costs import CostEstimate
from foxtailreach.core.dispatch.target_load import (
    TargetLoad,
    overdue_after_us,
)
from foxtailreach.core.dispatch.target_notices import (
    MAX_PAUSE_US,
    TargetNotice,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Failure periods last 2.7 s on average.
EJECTION_US = 6 * SECOND_US
# A slow answer ejects a target for a shorter time, so that it is tried again
# sooner while many targets of its service are slow or fail.
SHORT_EJECTION_US = 2 * SECOND_US
# An older success says little about the next request.
EVIDENCE_VALID_US = 6 * SECOND_US
# A full target frees a slot within about one service time.
FULL_PAUSE_US = 100 * MILLISECOND_US
# Consecutive requests that a target sheds before it is ejected.
SHEDS_TO_EJECT = 3
SHED_EJECTION_US = SECOND_US
# The broker's own copy of the state follows within about this time when another
# host knew first that a target leaves.
WITHHELD_PAUSE_US = SECOND_US
# A single host may have lost its own network path; if two hosts cannot connect,
# the target is at fault.
UNREACHABLE_HOSTS = 2
UNREACHABLE_WINDOW_US = 3 * SECOND_US
WARM_UP_BURST_REQUESTS = 1.0


class TargetStatus(enum.IntEnum):
    """Health of a target by its newest evidence, the best first.

    A `PROVEN` target succeeded recently and has not failed since. An `EJECTED`
    one failed recently or has an overdue request; it is a last resort.
    """

    PROVEN = 0
    UNPROVEN = 1
    EJECTED = 2


class TargetRecord:
    """Granted slots, outcomes and warm-up of one target.

    `granted` maps the holder of each slot to the time of the grant. The times
    of the last success and failure are 0 if there was none. `is_tried` tells
    that this or another broker has sent it a request.
    """

    __slots__ = (
        '_consecutive_sheds',
        '_failed_send_us',
        '_needs_warm_up',
        '_served_send_us',
        '_unreachable_by_host',
        '_warm_up_bucket',
        'ejected_until_us',
        'first_seen_us',
        'full_until_us',
        'granted',
        'is_evacuated',
        'is_leaving',
        'is_tried',
        'last_failed_us',
        'last_grant_us',
        'last_served_us',
        'load',
        'paused_until_us',
        'spec',
        'warm_up_until_us',
    )

    def __init__(
        self,
        spec: TargetSpec,
        service: ServiceSpec,
        now_us: int,
    ) -> None:
        """Create a record without evidence."""
        self.spec = spec
        self.granted: dict[tuple[str, int], int] = {}
        self.load = TargetLoad()
        self.first_seen_us = now_us
        self.last_served_us = 0
        self.last_failed_us = 0
        self.last_grant_us = 0
        self.ejected_until_us = 0
        self.full_until_us = 0
        self.warm_up_until_us = now_us + spec.warm_up_left_us
        self.is_evacuated = False
        self.is_leaving = False
        self.paused_until_us = 0
        self.is_tried = False
        self._consecutive_sheds = 0
        # When the request that failed last was sent.
        self._failed_send_us = 0
        # When the newest request that was served in time was sent.
        self._served_send_us = 0
        self._needs_warm_up = False
        self._unreachable_by_host: dict[str, int] = {}
        self._warm_up_bucket = TokenBucket(
            service.warm_up_rate_per_s or 1,
            WARM_UP_BURST_REQUESTS,
            now_us,
        )

    def update(self, spec: TargetSpec, now_us: int) -> None:
        """Replace the description; a restart discards all evidence."""
        if spec.started_ms != self.spec.started_ms:
            self.last_served_us = 0
            self.last_failed_us = 0
            self._failed_send_us = 0
            self._served_send_us = 0
            self.ejected_until_us = 0
            self.is_leaving = False
            self.paused_until_us = 0
            self.granted.clear()
            self.load.clear()
            self._unreachable_by_host.clear()
        if spec.warm_up_left_us and spec != self.spec:
            until_us = now_us + spec.warm_up_left_us
            self.warm_up_until_us = max(self.warm_up_until_us, until_us)
        self.spec = spec

    def start_warm_up(self, now_us: int, warm_up_us: int) -> None:
        """Limit the target to the warm-up rate for at least `warm_up_us`."""
        self.warm_up_until_us = max(self.warm_up_until_us, now_us + warm_up_us)

    def is_warming_up(self, now_us: int) -> bool:
        """Tell whether the target gets only the warm-up rate."""
        return self._needs_warm_up or now_us < self.warm_up_until_us

    @property
    def accepts_work(self) -> bool:
        """Whether the target is neither leaving nor evacuated."""
        is_leaving = self.is_leaving or self.spec.is_draining
        return not is_leaving and not self.is_evacuated

    def is_paused(self, now_us: int) -> bool:
        """Tell whether the target has asked for no requests for now."""
        return now_us < self.paused_until_us

    def record_notice(self, notice: TargetNotice, now_us: int) -> None:
        """Record what the target has told a host."""
        self.is_leaving = self.is_leaving or notice.is_leaving
        if notice.pause_us > 0:
            until_us = now_us + min(notice.pause_us, MAX_PAUSE_US)
            self.paused_until_us = max(self.paused_until_us, until_us)

    def has_free_slot(self, now_us: int) -> bool:
        """Tell whether one more request may be sent now.

        A target in warm-up gets up to half of its slots, at the warm-up rate.
        """
        spec = self.spec
        if not self.accepts_work:
            return False
        if now_us < max(self.full_until_us, self.paused_until_us):
            return False
        if self.is_warming_up(now_us):
            is_half_free = len(self.granted) < max(1, spec.slots // 2)
            return is_half_free and self._warm_up_bucket.has_token(now_us)
        return len(self.granted) < spec.slots

    def status(self, now_us: int, service_us: int) -> TargetStatus:
        """Classify the target by its newest evidence."""
        if now_us < self.ejected_until_us:
            return TargetStatus.EJECTED
        if self._has_overdue(now_us, service_us):
            return TargetStatus.EJECTED
        is_fresh = now_us - self.last_served_us < EVIDENCE_VALID_US
        if self.last_served_us > self.last_failed_us and is_fresh:
            return TargetStatus.PROVEN
        return TargetStatus.UNPROVEN

    def grant(
        self,
        holder: tuple[str, int],
        now_us: int,
        estimate: CostEstimate | None = None,
    ) -> None:
        """Assign a slot to a holder until it is released."""
        self.granted[holder] = now_us
        if estimate is not None:
            self.load.add(holder, estimate, now_us)
        self.last_grant_us = now_us
        self.is_tried = True
        if self.is_warming_up(now_us):
            self._warm_up_bucket.take(now_us)

    def release(self, holder: tuple[str, int]) -> bool:
        """Release a slot; return False if the holder has none."""
        self.load.remove(holder)
        return self.granted.pop(holder, None) is not None

    def record_outcome(
        self,
        outcome: SendOutcome,
        host_id: str,
        service: ServiceSpec,
        sent_us: int,
        now_us: int,
        *,
        is_slow: bool,
    ) -> None:
        """Update the evidence with the outcome of a request sent at `sent_us`.

        A success counts only if it was sent after the last failed request:
        requests in flight while a target begins to fail still succeed.
        """
        self.is_tried = True
        if outcome is SendOutcome.SERVED and sent_us < self._failed_send_us:
            return
        was_failed_us = self.last_failed_us
        match outcome:
            case SendOutcome.SERVED:
                self._record_served(service, sent_us, now_us, is_slow=is_slow)
            case SendOutcome.FAILED | SendOutcome.TIMED_OUT:
                self._eject(now_us, EJECTION_US)
            case SendOutcome.LOST | SendOutcome.MISDIRECTED:
                self._eject(now_us, EJECTION_US)
                self._needs_warm_up = True
            case SendOutcome.SHED:
                self._record_shed(now_us)
            case SendOutcome.WITHHELD:
                self.full_until_us = now_us + WITHHELD_PAUSE_US
            case SendOutcome.UNREACHABLE:
                self._record_unreachable(host_id, now_us)
            case _:
                return
        if self.last_failed_us > was_failed_us:
            self._failed_send_us = max(self._failed_send_us, sent_us)

    def merge_evidence(self, last_served_us: int, last_failed_us: int) -> None:
        """Merge newer evidence that another broker gathered.

        A target that gave an answer has had a request.
        """
        self.last_grant_us = max(
            self.last_grant_us, last_served_us, last_failed_us
        )
        self.last_served_us = max(self.last_served_us, last_served_us)
        if last_failed_us > self.last_failed_us:
            self.last_failed_us = last_failed_us
            self._failed_send_us = last_failed_us
            if last_failed_us > self.last_served_us:
                until_us = last_failed_us + EJECTION_US
                self.ejected_until_us = max(self.ejected_until_us, until_us)
        self.is_tried = self.is_tried or bool(last_served_us or last_failed_us)

    def _record_served(
        self,
        service: ServiceSpec,
        sent_us: int,
        now_us: int,
        *,
        is_slow: bool,
    ) -> None:
        self._consecutive_sheds = 0
        self._unreachable_by_host.clear()
        if self._needs_warm_up:
            self._needs_warm_up = False
            self.start_warm_up(now_us, service.warm_up_us)
        if is_slow and not self.is_warming_up(now_us):
            # Unless a request that was sent later has been served in time.
            if sent_us > self._served_send_us:
                self._eject(now_us, SHORT_EJECTION_US)
            return
        self._served_send_us = max(self._served_send_us, sent_us)
        self.last_served_us = now_us
        self.ejected_until_us = min(self.ejected_until_us, now_us)

    def _record_shed(self, now_us: int) -> None:
        self._consecutive_sheds += 1
        self.full_until_us = now_us + FULL_PAUSE_US
        if self._consecutive_sheds >= SHEDS_TO_EJECT:
            self._eject(now_us, SHED_EJECTION_US)

    def _record_unreachable(self, host_id: str, now_us: int) -> None:
        self._unreachable_by_host[host_id] = now_us
        recent = [
            seen_us
            for seen_us in self._unreachable_by_host.values()
            if now_us - seen_us < UNREACHABLE_WINDOW_US
        ]
        if len(recent) >= UNREACHABLE_HOSTS:
            self._needs_warm_up = True
            self._eject(now_us, UNREACHABLE_WINDOW_US)

    def _eject(self, now_us: int, duration_us: int) -> None:
        self.last_failed_us = now_us
        until_us = now_us + duration_us
        self.ejected_until_us = max(self.ejected_until_us, until_us)

    def _has_overdue(self, now_us: int, service_us: int) -> bool:
        if not self.granted:
            return False
        oldest_us = min(self.granted.values())
        if now_us - oldest_us <= overdue_after_us(service_us):
            return False
        return self.load.has_overdue(self.granted, service_us, now_us)
