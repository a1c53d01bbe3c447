"""Queries: they only read."""
