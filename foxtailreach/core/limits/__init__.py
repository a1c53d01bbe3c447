"""Fleet-wide token buckets, divided into seats that single hosts hold."""
