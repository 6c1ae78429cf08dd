"""Workers: the protocol that the platform's workers speak."""
