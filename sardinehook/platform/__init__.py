"""Adapter to the users' platform: its names, wire formats and API calls.

This package only translates and makes no decisions. It decodes all input into the
types of ``sardinehook.gateway``; no other package uses names of the platform.
"""
