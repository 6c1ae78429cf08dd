"""Stand-ins of the platform and the workers, and tools that put load on a deployment."""
