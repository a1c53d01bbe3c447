"""Commands that run a host or publish changes."""
