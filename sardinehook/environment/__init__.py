"""Environment documents: schema, validation, revisions, promotion, replication."""
