"""TCP and HTTP client code shared by all parts of sardinehook."""
