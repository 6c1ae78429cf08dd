"""Stand-in of the platform's append-only log service."""
