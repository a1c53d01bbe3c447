"""Settings shared by all tests."""

from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('ci')
