"""Rate and burst of client accounts, counted over the whole fleet."""
