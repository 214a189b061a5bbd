"""The platform: ports and adapters of its key-value service and VM list."""
