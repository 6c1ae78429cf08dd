"""Stand-in of the platform's workers, with counters of broken promises."""
