"""The gateway process: forwards callers' HTTP requests to replicas and shards."""
