"""Connections as all parts of sardinehook use them."""
