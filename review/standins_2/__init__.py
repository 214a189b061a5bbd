"""Stand-ins of the second review: the platform's store, replicas and clients."""
