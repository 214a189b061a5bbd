"""Stand-ins of the platform, its replicas and its callers for the review's cases."""
