"""Tests of the codec."""
