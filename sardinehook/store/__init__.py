"""Ports for the key-value service and the VM list, with their HTTP adapters."""
