"""The entry process: front, control, shutdown."""
