"""Events, metrics and the time line."""
