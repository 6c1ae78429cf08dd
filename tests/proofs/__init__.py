"""Proofs of the promises under failure, each with a mutant whose guard is removed."""
