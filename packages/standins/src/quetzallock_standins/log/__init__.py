"""A stand-in of the platform's append-only log service."""
