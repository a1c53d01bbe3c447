"""Fake platform and fake targets for tests, demo and benchmarks."""
