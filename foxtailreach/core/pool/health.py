"""Detection of targets with a gray failure by comparison with their peers.

Each answer of a target falls into a latency level: below the 90th percentile
of its peers, up to twice that, up to four times, and so on. A cumulative sum
of log-likelihood ratios (Page's test, CUSUM) grows only while the target is
worse than its peers. The level probabilities of a healthy target are those
of a Pareto tail with exponent 1.5, so that a heavy tail alone raises no
alarm.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final

WINDOW_SAMPLES: Final = 128
MIN_REFERENCE_SAMPLES: Final = 20
REFERENCE_QUANTILE: Final = 0.9

EJECT_SCORE: Final = 18.0
PROBATION_SCORE: Final = 9.0
DEGRADED_POOL_SCORE: Final = 4.0
MAX_SCORE: Final = 40.0
EJECT_CONNECT_FAILURES: Final = 2
LEVEL_FACTOR: Final = 2

HEALTHY_LEVEL_PROBABILITIES: Final = (0.9, 0.065, 0.0227, 0.008, 0.0043)
GRAY_LEVEL_PROBABILITIES: Final = (0.3, 0.2, 0.25, 0.15, 0.1)
LEVEL_SCORES: Final = tuple(
    math.log(gray / healthy)
    for gray, healthy in zip(
        GRAY_LEVEL_PROBABILITIES, HEALTHY_LEVEL_PROBABILITIES, strict=True
    )
)
MAX_LEVEL: Final = len(LEVEL_SCORES) - 1
BASELINE_SAMPLES: Final = 16
ERROR_PROBABILITY_HEALTHY: Final = 0.02
ERROR_PROBABILITY_GRAY: Final = 0.3
ERROR_SCORE: Final = math.log(
    ERROR_PROBABILITY_GRAY / ERROR_PROBABILITY_HEALTHY,
)
SUCCESS_SCORE: Final = math.log(
    (1 - ERROR_PROBABILITY_GRAY) / (1 - ERROR_PROBABILITY_HEALTHY),
)


class CusumDetector:
    """Page's cumulative sum (CUSUM) of log-likelihood ratios."""

    __slots__ = ('score',)

    def __init__(self) -> None:
        """Start with a score of 0."""
        self.score = 0.0

    def add(self, gain: float) -> None:
        """Add the log-likelihood ratio of one observation."""
        self.score = min(MAX_SCORE, max(0, self.score + gain))


class TargetHealth:
    """Recent latencies and failures of one target."""

    __slots__ = (
        'connect_failures',
        'error_detector',
        'latency_detector',
        'samples',
    )

    def __init__(self) -> None:
        """Start without samples or failures."""
        self.samples: dict[str, deque[int]] = {}
        self.clear_scores()

    def clear_scores(self) -> None:
        """Reset detectors and failures but keep the latency samples."""
        self.connect_failures = 0
        self.latency_detector = CusumDetector()
        self.error_detector = CusumDetector()

    def record_result(self, *, failed: bool) -> None:
        """Count a success or an error."""
        self.error_detector.add(ERROR_SCORE if failed else SUCCESS_SCORE)

    def record_fast(self) -> None:
        """Count an answer below the reference latency."""
        self.latency_detector.add(LEVEL_SCORES[0])

    def record_slow_level(self, level: int) -> None:
        """Count that an answer reached a level.

        Call it once for each level that the answer passes; each call adds
        the difference from the level before.
        """
        gain = LEVEL_SCORES[level]
        if level > 1:
            gain -= LEVEL_SCORES[level - 1]
        self.latency_detector.add(gain)

    def reset_baseline(self) -> None:
        """Reset the detectors after the whole pool got worse.

        Only the latest samples are kept, so that references soon follow the
        pool's new latency.
        """
        self.clear_scores()
        for samples in self.samples.values():
            while len(samples) > BASELINE_SAMPLES:
                samples.popleft()

    @property
    def score(self) -> float:
        """The larger score of the two detectors."""
        return max(self.latency_detector.score, self.error_detector.score)

    def add_sample(self, duration_class: str, latency_us: int) -> None:
        """Add a latency to the samples that other targets compare with."""
        samples = self.samples.get(duration_class)
        if samples is None:
            samples = deque(maxlen=WINDOW_SAMPLES)
            self.samples[duration_class] = samples
        samples.append(latency_us)

    def quantile_us(self, duration_class: str) -> int | None:
        """Return the reference quantile of this target's samples.

        Returns None while there are too few samples.
        """
        samples = self.samples.get(duration_class, ())
        if len(samples) < MIN_REFERENCE_SAMPLES:
            return None
        ordered = sorted(samples)
        return ordered[int(len(ordered) * REFERENCE_QUANTILE)]


class PeerComparison:
    """Reference latencies of a pool, refreshed at a fixed interval."""

    __slots__ = ('_references',)

    def __init__(self) -> None:
        """Start without references, so that nothing counts as slow."""
        self._references: dict[tuple[str, str], int] = {}

    def refresh(self, healths: Mapping[str, TargetHealth]) -> None:
        """Recompute each target's reference from the other targets."""
        self._references.clear()
        classes = {
            duration_class
            for health in healths.values()
            for duration_class in health.samples
        }
        for duration_class in classes:
            self._refresh_class(duration_class, healths)

    def reference_us(self, target: str, duration_class: str) -> int | None:
        """Return the latency above which an answer of `target` is slow.

        Returns None while the target has no peers with enough samples.
        """
        return self._references.get((target, duration_class))

    def _refresh_class(
        self,
        duration_class: str,
        healths: Mapping[str, TargetHealth],
    ) -> None:
        quantiles = {
            name: health.quantile_us(duration_class)
            for name, health in healths.items()
        }
        for name in healths:
            others = [
                quantile
                for other, quantile in quantiles.items()
                if other != name and quantile is not None
            ]
            if others:
                median = statistics.median_low(others)
                self._references[name, duration_class] = median


def is_pool_degraded(others: Iterable[TargetHealth]) -> bool:
    """Tell whether most of the targets got worse, by their median score."""
    scores = [health.score for health in others]
    return bool(scores) and statistics.median_low(scores) >= DEGRADED_POOL_SCORE


def slow_level(latency_us: int, reference_us: int) -> int:
    """Return the level of a latency: 0 if it is within the reference.

    Level 1 is above the reference, level 2 above twice, level 3 above four
    times the reference, and so on.
    """
    if latency_us <= reference_us:
        return 0
    ratio = latency_us / max(1, reference_us)
    return 1 + int(math.log(ratio, LEVEL_FACTOR))
