"""Queries, which change nothing."""
