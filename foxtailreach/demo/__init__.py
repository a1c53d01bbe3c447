"""Demonstration of the whole system in one process."""
