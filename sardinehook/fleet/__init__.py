"""Coordination of the entry VMs: membership, replica ownership and links."""
