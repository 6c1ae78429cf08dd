"""Stand-in of the platform's host list, which lags behind the workers' states."""
