"""HTTP clients for commands to workers and for requests to their backend servers."""
