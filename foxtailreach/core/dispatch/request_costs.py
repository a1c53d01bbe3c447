"""Estimates of the service time of requests, by class and by target.

Load pattern: the requests of one service differ in cost, and a few take several
times the mean. An answer is explained by two factors, the mean of its class and
the slowness of its target, so that a slow target does not make a class look
expensive, and expensive requests do not make a target look slow.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from foxtailreach.core.dispatch.messages import ClassCost, SlotRequest
from foxtailreach.core.units import MILLISECOND_US

# Assumed mean service time until the first answers arrive.
DEFAULT_SERVICE_TIME_US = 250 * MILLISECOND_US
# Weight of a new answer in the mean of the service.
SERVICE_TIME_GAIN = 0.05
# Weight of a new answer in the estimates of its class: a twofold change is
# tracked to within an eighth after 20 answers.
CLASS_GAIN = 0.1
# The first answers of a class or target weigh more, but not more than this.
FIRST_GAIN = 0.5
# An answer counts for at most this many means, so that a single one moves the
# mean of its class by no more than 0.3 after the first answers.
MAX_SAMPLE_FACTOR = 4
# An answer in time says little about its target: a single one varies by half.
TARGET_GAIN = 0.15
# Slowness starts at 1, which weighs as much as this many answers.
TARGET_PRIOR_ANSWERS = 4
MAX_SLOWNESS = 2.5
MIN_SLOWNESS = 0.4
# Follows a common change of all targets, which belongs to the classes.
COMMON_GAIN = 0.3
MAX_CLASSES = 64
MAX_DIGEST_CLASSES = 16
# Bodies above this size make a class of their own, and again at each factor.
BODY_STEP_BYTES = 32_768
BODY_STEP_FACTOR = 8
# From this learned share on, a long request is usual.
TAIL_SHARE = 0.02
# About the last 2,000 requests count: a share of 0.03 is then estimated with a
# standard error of 0.004.
TAIL_MEMORY = 2000
# The share of a class starts at that of its service, which weighs as much as
# this many requests; that of a service starts at 0.
CLASS_TAIL_PRIOR = 150
SERVICE_TAIL_PRIOR = 100
# Classes count as different if each has this share of the work, and their
# means differ by this factor.
WORK_SHARE = 0.05
MEAN_FACTOR = 1.5
# A mean of fewer answers varies too much to tell two classes apart.
MIN_CLASS_ANSWERS = 20
# Whether estimates of classes are called for is decided once in this many
# answers, and older work counts half as much after so many.
REVIEW_ANSWERS = 32
WORK_HALF_LIFE_ANSWERS = 512
# A broker that serves fewer requests of a class between two digests takes over
# the estimate of the other broker.
MIN_OWN_ANSWERS = 5
# Odd multiplier that spreads the steps of body sizes over the class ids.
_BODY_STEP_MIX = 0x9E3779B1
_CLASS_MASK = 0x7FFFFFFF
PERMILLE = 1000


class CostEstimate(NamedTuple):
    """Expected service time, share of long requests and answer size."""

    mean_us: int
    deviation_us: int
    tail_share: float
    answer_bytes: int


class TailShare:
    """Decaying share of the requests that take several times the mean."""

    __slots__ = ('_tails', 'requests')

    def __init__(self, share: float = 0, requests: float = 0) -> None:
        """Start with a share that was seen in a number of requests."""
        self.requests = min(float(requests), TAIL_MEMORY)
        self._tails = share * self.requests

    def record(self, *, is_long: bool) -> None:
        """Count a request of a target that serves others in time."""
        decay = 1 - 1 / TAIL_MEMORY
        self.requests = self.requests * decay + 1
        self._tails = self._tails * decay + is_long

    def share(self, prior: float, prior_requests: int) -> float:
        """Return the share; `prior` weighs as much as `prior_requests`."""
        total = max(1, self.requests + prior_requests)
        return (self._tails + prior * prior_requests) / total


class _ClassEntry:
    """What is known of one class.

    `work_us` is its recent work, `own_answers` counts the answers seen here
    since the last merge.
    """

    __slots__ = (
        'answer_bytes',
        'answers',
        'deviation_us',
        'mean_us',
        'own_answers',
        'tail',
        'work_us',
    )

    def __init__(self, mean_us: float) -> None:
        self.mean_us = mean_us
        self.deviation_us = mean_us / 2
        self.answer_bytes = 0.0
        self.answers = 0
        self.own_answers = 0
        self.work_us = 0.0
        self.tail = TailShare()

    def record(self, latency_us: float, answer_bytes: int) -> None:
        """Update the estimates with an answer."""
        self.answers += 1
        self.own_answers += 1
        gain = max(CLASS_GAIN, min(FIRST_GAIN, 1 / self.answers))
        sample_us = min(latency_us, MAX_SAMPLE_FACTOR * self.mean_us)
        change_us = sample_us - self.mean_us
        self.mean_us += gain * change_us
        self.deviation_us += gain * (abs(change_us) - self.deviation_us)
        self.answer_bytes += gain * (answer_bytes - self.answer_bytes)
        self.work_us += sample_us


class _TargetFactor:
    """Service time of a target, relative to the estimates of the classes."""

    __slots__ = ('answers', 'factor', 'own_answers')

    def __init__(self) -> None:
        self.factor = 1.0
        self.answers = 0
        self.own_answers = 0

    def record(self, ratio: float) -> None:
        """Update the factor with the ratio of an answer."""
        self.answers += 1
        self.own_answers += 1
        weight = 1 / (self.answers + TARGET_PRIOR_ANSWERS)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        self.factor += max(TARGET_GAIN, weight) * (ratio - self.factor)


class RequestCosts:
    """Costs of the requests of one service, learned from their answers."""

    __slots__ = (
        '_answers',
        '_classes',
        '_common_factor',
        '_tail',
        '_targets',
        'is_active',
        'service_mean_us',
    )

    def __init__(self) -> None:
        """Start with the default service time, and without classes."""
        self.service_mean_us = float(DEFAULT_SERVICE_TIME_US)
        # Whether the estimates of classes replace the mean of the service.
        self.is_active = False
        # The class that was used least recently comes first.
        self._classes: dict[int, _ClassEntry] = {}
        self._targets: dict[str, _TargetFactor] = {}
        self._common_factor = 1.0
        self._tail = TailShare()
        self._answers = 0

    @property
    def known_classes(self) -> int:
        """Count the classes with an estimate."""
        return len(self._classes)

    def estimate(self, request_class: int, body_bytes: int) -> CostEstimate:
        """Return the expected cost of a request at a target of usual speed.

        The mean is that of the service, unless estimates of classes are called
        for and the class is known.
        """
        entry = self._classes.get(_class_key(request_class, body_bytes))
        mean_us = int(self.service_mean_us)
        if entry is None:
            return CostEstimate(mean_us, mean_us // 2, self._service_tail(), 0)
        if self.is_active:
            mean_us = int(entry.mean_us)
        return CostEstimate(
            mean_us,
            int(entry.deviation_us),
            self._tail_share(entry),
            int(entry.answer_bytes),
        )

    def class_estimate(
        self, request_class: int, body_bytes: int
    ) -> CostEstimate | None:
        """Return the estimate; None if the mean holds for all requests."""
        if not self.is_active:
            return None
        return self.estimate(request_class, body_bytes)

    def expected_us(self, request: SlotRequest) -> int:
        """Return the expected service time of a request."""
        estimate = self.class_estimate(
            request.request_class, request.body_bytes
        )
        return (
            int(self.service_mean_us)
            if estimate is None
            else (estimate.mean_us)
        )

    def record(
        self,
        request_class: int,
        body_bytes: int,
        latency_us: int,
        target_id: str,
        answer_bytes: int,
    ) -> None:
        """Learn from an answer that did not take several times the mean."""
        entry = self._touch(request_class, body_bytes)
        target = self._targets.setdefault(target_id, _TargetFactor())
        ratio = latency_us / max(1, entry.mean_us)
        entry.record(latency_us / self.slowness(target_id), answer_bytes)
        if entry.answers > MIN_CLASS_ANSWERS:
            target.record(ratio)
            change = target.factor - self._common_factor
            self._common_factor += COMMON_GAIN * change / len(self._targets)
        self._count(entry, is_long=False)

    def record_service_time(self, latency_us: int) -> None:
        """Update the mean of the service."""
        change_us = latency_us - self.service_mean_us
        self.service_mean_us += SERVICE_TIME_GAIN * change_us

    def record_long(
        self, request_class: int, body_bytes: int, latency_us: int
    ) -> None:
        """Learn from a long request at a target that serves others in time.

        A request that timed out would have taken at least `latency_us`.
        """
        entry = self._touch(request_class, body_bytes)
        entry.record(latency_us, int(entry.answer_bytes))
        self._count(entry, is_long=True)

    def slowness(self, target_id: str) -> float:
        """Return the service time at a target, relative to its classes."""
        target = self._targets.get(target_id)
        if target is None:
            return 1
        return target.factor / self._common_factor

    def forget_target(self, target_id: str) -> None:
        """Forget a target that has left."""
        self._targets.pop(target_id, None)

    def digest(self) -> tuple[ClassCost, ...]:
        """Return the estimates of the classes with the most work.

        None are returned unless they are called for.
        """
        if not self.is_active:
            return ()
        busiest = sorted(
            self._classes.items(),
            key=lambda known: known[1].work_us,
            reverse=True,
        )
        return tuple(
            ClassCost(
                request_class=key,
                mean_us=int(entry.mean_us),
                deviation_us=int(entry.deviation_us),
                tail_permille=round(PERMILLE * entry.tail.share(0, 0)),
                answer_bytes=int(entry.answer_bytes),
                samples=int(entry.tail.requests),
            )
            for key, entry in busiest[:MAX_DIGEST_CLASSES]
        )

    def slowness_permille(self, target_id: str) -> int:
        """Return the slowness for a digest; 0 if it is not known or used."""
        if not self.is_active or target_id not in self._targets:
            return 0
        return round(PERMILLE * self.slowness(target_id))

    def merge(self, costs: Sequence[ClassCost]) -> None:
        """Take over the estimates of another broker.

        Those of classes that this broker serves itself stay as they are.
        """
        if not costs:
            return
        requests = 0
        tails = 0.0
        for cost in costs:
            requests += cost.samples
            tails += cost.samples * cost.tail_permille / PERMILLE
            entry = self._classes.get(cost.request_class)
            if entry is None:
                entry = self._add(cost.request_class, cost.mean_us)
            is_own = entry.own_answers >= MIN_OWN_ANSWERS
            entry.own_answers = 0
            if not is_own:
                _replace(entry, cost)
        if requests > self._tail.requests or not self._answers:
            self._tail = TailShare(tails / max(1, requests), requests)
        self._review()

    def merge_slowness(self, target_id: str, slowness_permille: int) -> None:
        """Take over the slowness of a target that is not used here."""
        if not slowness_permille:
            return
        target = self._targets.setdefault(target_id, _TargetFactor())
        if target.own_answers < MIN_OWN_ANSWERS:
            slowness = slowness_permille / PERMILLE
            target.factor = self._common_factor * slowness
        target.own_answers = 0

    def _touch(self, request_class: int, body_bytes: int) -> _ClassEntry:
        """Return the entry of a class, as the one that was used last."""
        key = _class_key(request_class, body_bytes)
        entry = self._classes.pop(key, None)
        if entry is None:
            return self._add(key, self.service_mean_us)
        self._classes[key] = entry
        return entry

    def _add(self, key: int, mean_us: float) -> _ClassEntry:
        if len(self._classes) >= MAX_CLASSES:
            self._classes.pop(next(iter(self._classes)))
        entry = _ClassEntry(mean_us)
        self._classes[key] = entry
        return entry

    def _count(self, entry: _ClassEntry, *, is_long: bool) -> None:
        entry.tail.record(is_long=is_long)
        self._tail.record(is_long=is_long)
        self._answers += 1
        if self._answers % WORK_HALF_LIFE_ANSWERS == 0:
            for known in self._classes.values():
                known.work_us /= 2
        if self._answers % REVIEW_ANSWERS == 0:
            self._review()

    def _review(self) -> None:
        """Decide whether estimates of classes are called for."""
        total_us = sum(entry.work_us for entry in self._classes.values())
        major = [
            entry
            for entry in self._classes.values()
            if entry.answers >= MIN_CLASS_ANSWERS
            and entry.work_us >= WORK_SHARE * total_us
        ]
        means_us = [entry.mean_us for entry in major]
        differ = bool(means_us) and (
            max(means_us) >= MEAN_FACTOR * min(means_us)
        )
        self.is_active = differ or any(
            self._tail_share(entry) >= TAIL_SHARE for entry in major
        )

    def _tail_share(self, entry: _ClassEntry) -> float:
        return entry.tail.share(self._service_tail(), CLASS_TAIL_PRIOR)

    def _service_tail(self) -> float:
        return self._tail.share(0, SERVICE_TAIL_PRIOR)


def _class_key(request_class: int, body_bytes: int) -> int:
    """Return the id of a class and a step of body size, as 31 bits."""
    if body_bytes < BODY_STEP_BYTES:
        return request_class
    step = 1
    limit_bytes = BODY_STEP_BYTES * BODY_STEP_FACTOR
    while body_bytes >= limit_bytes:
        step += 1
        limit_bytes *= BODY_STEP_FACTOR
    return (request_class ^ (step * _BODY_STEP_MIX)) & _CLASS_MASK


def _replace(entry: _ClassEntry, cost: ClassCost) -> None:
    entry.mean_us = float(cost.mean_us)
    entry.deviation_us = float(cost.deviation_us)
    entry.answer_bytes = float(cost.answer_bytes)
    entry.answers = cost.samples
    entry.work_us = float(cost.samples * cost.mean_us)
    entry.tail = TailShare(cost.tail_permille / PERMILLE, cost.samples)
