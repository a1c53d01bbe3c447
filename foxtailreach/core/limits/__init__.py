"""Fleet-wide rate limits, divided into quota partitions held by hosts."""
