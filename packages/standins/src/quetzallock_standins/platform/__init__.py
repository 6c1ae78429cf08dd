"""A stand-in of the platform's lagging host list."""
