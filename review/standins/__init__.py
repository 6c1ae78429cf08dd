"""Stand-ins for the review's scripts: the platform's store, workers, callers; standard library only."""
