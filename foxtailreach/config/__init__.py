"""Host settings, and the named objects of the fleet's configuration."""
