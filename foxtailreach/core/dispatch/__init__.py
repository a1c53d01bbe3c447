"""Decisions that place, delay and refuse requests; no input or output."""
