"""Retry budgets, backoff and the deadlines that bound them."""
