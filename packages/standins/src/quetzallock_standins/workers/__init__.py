"""A stand-in of the platform's workers, with guards that count broken promises."""
