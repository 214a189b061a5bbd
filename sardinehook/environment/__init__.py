"""Environment documents: schema, checks, revisions, promotion and spread."""
