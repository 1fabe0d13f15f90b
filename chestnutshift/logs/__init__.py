"""Log handlers, log formats and the search of logs."""
