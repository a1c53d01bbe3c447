"""A proxy fleet for targets with gray failures."""

from __future__ import annotations

__version__ = '0.1.0'
