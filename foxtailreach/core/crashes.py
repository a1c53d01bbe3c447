"""Quarantine of requests that crash the targets that run them."""

from __future__ import annotations

from foxtailreach.core.messages import CrashRumor
from foxtailreach.core.units import MINUTE_US

QUARANTINE_US = 10 * MINUTE_US
QUARANTINE_TARGETS = 2


class CrashTracker:
    """Targets lost per request fingerprint, as known to this host."""

    __slots__ = (
        '_expires_us',
        '_lost',
        '_quarantine_us',
        '_seen',
        '_targets_to_refuse',
    )

    def __init__(
        self,
        targets_to_refuse: int = QUARANTINE_TARGETS,
        quarantine_us: int = QUARANTINE_US,
    ) -> None:
        """Start without reports."""
        self._targets_to_refuse = targets_to_refuse
        self._quarantine_us = quarantine_us
        self._lost: dict[int, set[str]] = {}
        self._expires_us: dict[int, int] = {}
        self._seen: dict[str, int] = {}

    def apply_update(self, gossip_update: CrashRumor, now_us: int) -> bool:
        """Apply a report; false if it is already known."""
        if gossip_update.report_id in self._seen:
            return False
        self._seen[gossip_update.report_id] = now_us
        if gossip_update.target:
            lost = self._lost.setdefault(gossip_update.fingerprint, set())
            lost.add(gossip_update.target)
            self._expires_us[gossip_update.fingerprint] = (
                now_us + self._quarantine_us
            )
        else:
            self._forget(gossip_update.fingerprint)
        return True

    def report_crash(
        self,
        fingerprint: int,
        target: str,
        report_id: str,
        now_us: int,
    ) -> CrashRumor:
        """Note a lost target; return the report for the other hosts."""
        report = CrashRumor(fingerprint, target, report_id)
        self.apply_update(report, now_us)
        return report

    def withdraw(
        self,
        fingerprint: int,
        report_id: str,
        now_us: int,
    ) -> CrashRumor:
        """Note that the request was answered; return the report of it."""
        return self.report_crash(fingerprint, '', report_id, now_us)

    def is_suspect(self, fingerprint: int) -> bool:
        """Whether any target was lost to this fingerprint."""
        return fingerprint in self._lost

    def is_quarantined(self, fingerprint: int) -> bool:
        """Whether enough targets were lost to refuse this fingerprint."""
        lost = self._lost.get(fingerprint, ())
        return len(lost) >= self._targets_to_refuse

    def expire(self, now_us: int) -> None:
        """Forget reports that are older than the quarantine."""
        for fingerprint, expires_us in list(self._expires_us.items()):
            if expires_us <= now_us:
                self._forget(fingerprint)
        horizon_us = now_us - self._quarantine_us
        self._seen = {
            report_id: seen_us
            for report_id, seen_us in self._seen.items()
            if seen_us > horizon_us
        }

    def _forget(self, fingerprint: int) -> None:
        self._lost.pop(fingerprint, None)
        self._expires_us.pop(fingerprint, None)
