"""Proofs of the promises under failure, each with a twin whose guard is taken out."""
