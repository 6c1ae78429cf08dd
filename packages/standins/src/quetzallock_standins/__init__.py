"""Stand-ins of the platform and the workers, and the tools that play load against them."""
