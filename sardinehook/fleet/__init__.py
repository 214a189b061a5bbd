"""The fleet of entry VMs: membership, ownership, links."""
