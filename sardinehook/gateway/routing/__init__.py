"""Routing by the load and the speed that replicas and delegates report."""
