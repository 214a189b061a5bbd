"""Event log, metrics, and the timeline built from event logs."""
