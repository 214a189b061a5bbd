"""The entry process: HTTP server, request handling, start-up and shutdown."""
