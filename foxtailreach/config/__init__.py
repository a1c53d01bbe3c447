"""Settings of a process and the named objects of a configuration."""
