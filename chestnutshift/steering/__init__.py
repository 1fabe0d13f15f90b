"""Choice of upstreams, retry budgets and table freshness, without I/O."""
