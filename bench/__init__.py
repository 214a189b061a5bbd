"""Stand-ins, load and experiments that measure sardinehook."""
