"""Fleet-wide rate limits, with bursts, of client accounts."""
