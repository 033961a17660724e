"""Endpoint selection: routing policies, circuit breakers and retry budgets."""
