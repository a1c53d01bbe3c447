"""The brokers of one host: created when asked, dropped when idle."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import Broker, Step
from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.deployment import Deployment, TargetSpec
from foxtailreach.core.units import SECOND_US

# Evidence ages fast, and each digest goes to every host.
DIGEST_INTERVAL_US = 2 * SECOND_US
BROKER_IDLE_US = 20 * SECOND_US


@dataclass(slots=True, frozen=True)
class Asking:
    """Who sends a message to a broker; `is_alone` if without contact."""

    host_id: str
    domain: str
    is_alone: bool


@dataclass(slots=True)
class BrokerSlot:
    """A broker and when it was last needed."""

    broker: Broker
    used_us: int
    asked_us: int = 0
    digest_us: int = 0


class ServiceBrokers:
    """One broker for each service that this host is asked about."""

    __slots__ = (
        '_deployment',
        '_evacuated',
        '_policy',
        '_rng',
        '_slots',
        '_targets',
    )

    def __init__(self, policy: RetryPolicy, rng: random.Random) -> None:
        """Start without configuration; see `update`."""
        self._policy = policy
        self._rng = rng
        self._deployment: Deployment | None = None
        self._targets: tuple[TargetSpec, ...] = ()
        self._evacuated: frozenset[str] = frozenset()
        self._slots: dict[str, BrokerSlot] = {}

    def update(
        self,
        deployment: Deployment | None,
        targets: Iterable[TargetSpec],
        evacuated: frozenset[str],
        now_us: int,
    ) -> Step:
        """Adopt the current configuration and targets."""
        self._deployment = deployment
        self._targets = tuple(targets)
        self._evacuated = evacuated
        step: Step = []
        for service, slot in list(self._slots.items()):
            if deployment is None or service not in deployment.services:
                self._slots.pop(service)
                continue
            step.extend(self._refresh(service, slot.broker, now_us))
        return step

    def ask(
        self,
        sender: Asking,
        request: messages.SlotRequest,
        now_us: int,
    ) -> Step:
        """Let a broker decide on a request for a slot."""
        slot = self._slot(request.service_name, now_us)
        if slot is None:
            cause = messages.RefusalCause.NOT_READY
            refusal = messages.SlotRefused(request.ask_id, cause, SECOND_US)
            return [messages.SendHost(sender.host_id, refusal)]
        slot.asked_us = now_us
        slot.broker.set_alone(is_alone=sender.is_alone)
        return slot.broker.ask(sender.host_id, sender.domain, request, now_us)

    def report(
        self,
        host_id: str,
        report: messages.SlotReport,
        now_us: int,
    ) -> Step:
        """Return a slot to its broker."""
        slot = self._slot(report.service_name, now_us)
        return (
            [] if slot is None else slot.broker.report(host_id, report, now_us)
        )

    def cancel(
        self,
        host_id: str,
        cancel: messages.SlotCancel,
        now_us: int,
    ) -> Step:
        """Withdraw a question."""
        slot = self._slots.get(cancel.service_name)
        if slot is None:
            return []
        return slot.broker.cancel(host_id, cancel.ask_id, now_us)

    def hear(
        self,
        news: messages.EvidenceDigest | messages.TurnedAway,
        now_us: int,
    ) -> None:
        """Take note of what happened elsewhere."""
        slot = self._slot(news.service_name, now_us)
        if slot is None:
            return
        match news:
            case messages.EvidenceDigest():
                slot.broker.adopt(news, now_us)
            case messages.TurnedAway():
                slot.broker.note_turned_away(now_us)

    def host_lost(self, host_id: str, now_us: int) -> Step:
        """Take back the slots of a host that is gone."""
        step: Step = []
        for slot in self._slots.values():
            step.extend(slot.broker.host_lost(host_id, now_us))
        return step

    def tick(self, listeners: Iterable[str], now_us: int) -> Step:
        """Let time pass; send evidence to `listeners` now and then."""
        step: Step = []
        for service, slot in list(self._slots.items()):
            step.extend(slot.broker.tick(now_us))
            if now_us - slot.used_us > BROKER_IDLE_US:
                self._slots.pop(service)
            elif _is_digest_due(slot, now_us):
                slot.digest_us = now_us
                digest = slot.broker.digest(now_us)
                step.extend(
                    messages.SendHost(host_id, digest) for host_id in listeners
                )
        return step

    def queue_lengths(self) -> dict[str, int]:
        """Return how many requests wait for each service."""
        return {
            service: slot.broker.queue_length
            for service, slot in self._slots.items()
        }

    def _slot(self, service: str, now_us: int) -> BrokerSlot | None:
        deployment = self._deployment
        if deployment is None or service not in deployment.services:
            return None
        slot = self._slots.get(service)
        if slot is None:
            spec = deployment.services[service]
            broker = Broker(spec, self._policy, self._rng, now_us)
            slot = BrokerSlot(broker, now_us)
            self._slots[service] = slot
            self._refresh(service, broker, now_us)
        slot.used_us = now_us
        return slot

    def _refresh(self, service: str, broker: Broker, now_us: int) -> Step:
        assert self._deployment is not None
        targets = [
            target for target in self._targets if target.service == service
        ]
        spec = self._deployment.services[service]
        return broker.update_targets(spec, targets, self._evacuated, now_us)


def _is_digest_due(slot: BrokerSlot, now_us: int) -> bool:
    is_active = now_us - slot.asked_us < DIGEST_INTERVAL_US
    return is_active and now_us - slot.digest_us > DIGEST_INTERVAL_US
