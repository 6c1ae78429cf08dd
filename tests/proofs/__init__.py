"""Tests of the promises under faults, each with a mutant that removes the promise's guard."""
