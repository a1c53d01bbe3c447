"""Repeatable measurements, most of them in virtual time."""
