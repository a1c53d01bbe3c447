"""Quarantine of requests that crash the targets that run them."""

from __future__ import annotations

from collections.abc import Iterable

from foxtailreach.core.messages import CrashRumor
from foxtailreach.core.units import MINUTE_US

QUARANTINE_US = 10 * MINUTE_US
QUARANTINE_TARGETS = 2


class CrashTracker:
    """Targets that crashed, by the fingerprint of the request they ran."""

    __slots__ = (
        '_crashed_targets',
        '_elsewhere',
        '_expires_us',
        '_quarantine_us',
        '_seen_reports',
        '_targets_to_quarantine',
    )

    def __init__(
        self,
        targets_to_quarantine: int = QUARANTINE_TARGETS,
        quarantine_us: int = QUARANTINE_US,
    ) -> None:
        """Start without reports.

        A fingerprint that crashed `targets_to_quarantine` targets is refused
        until `expire` is called `quarantine_us` or more after the last crash.
        """
        self._targets_to_quarantine = targets_to_quarantine
        self._quarantine_us = quarantine_us
        self._crashed_targets: dict[int, set[str]] = {}
        self._elsewhere: dict[str, dict[int, frozenset[str]]] = {}
        self._expires_us: dict[int, int] = {}
        self._seen_reports: dict[str, int] = {}

    def apply_update(self, gossip_update: CrashRumor, now_us: int) -> bool:
        """Apply a report; false if it is already known.

        A report without a target clears the fingerprint.
        """
        if gossip_update.report_id in self._seen_reports:
            return False
        self._seen_reports[gossip_update.report_id] = now_us
        if gossip_update.target:
            crashed = self._crashed_targets.setdefault(
                gossip_update.fingerprint, set()
            )
            crashed.add(gossip_update.target)
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
        """Record a crashed target; return the report for the other hosts."""
        report = CrashRumor(fingerprint, target, report_id)
        self.apply_update(report, now_us)
        return report

    def withdraw(
        self,
        fingerprint: int,
        report_id: str,
        now_us: int,
    ) -> CrashRumor:
        """Clear the fingerprint of an answered request; return the report."""
        return self.report_crash(fingerprint, '', report_id, now_us)

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether this fingerprint crashed any target."""
        return fingerprint in self._crashed_targets

    def is_quarantined(self, fingerprint: int) -> bool:
        """Tell whether this fingerprint is refused for its crashes."""
        crashed = self._crashed_targets.get(fingerprint, set())
        elsewhere = [
            known.get(fingerprint, frozenset())
            for known in self._elsewhere.values()
        ]
        return len(crashed.union(*elsewhere)) >= self._targets_to_quarantine

    def crashed_targets(self) -> dict[int, frozenset[str]]:
        """Return the crashed targets of each fingerprint, as seen here."""
        return {
            fingerprint: frozenset(targets)
            for fingerprint, targets in self._crashed_targets.items()
        }

    def merge(
        self, fingerprint: int, targets: Iterable[str], now_us: int
    ) -> None:
        """Record crashes that an earlier tracker of the requests has seen."""
        for target in targets:
            report_id = f'{fingerprint}/{target}'
            self.report_crash(fingerprint, target, report_id, now_us)

    def replace_elsewhere(
        self, source: str, crashed_targets: dict[int, frozenset[str]]
    ) -> None:
        """Replace what another tracker of the same requests has seen."""
        self._elsewhere[source] = crashed_targets

    def expire(self, now_us: int) -> None:
        """Drop reports that are older than the quarantine."""
        for fingerprint, expires_us in list(self._expires_us.items()):
            if expires_us <= now_us:
                self._forget(fingerprint)
        horizon_us = now_us - self._quarantine_us
        self._seen_reports = {
            report_id: seen_us
            for report_id, seen_us in self._seen_reports.items()
            if seen_us > horizon_us
        }

    def _forget(self, fingerprint: int) -> None:
        self._crashed_targets.pop(fingerprint, None)
        self._expires_us.pop(fingerprint, None)
