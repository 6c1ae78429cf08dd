"""Measures the cost of each role at sizes that span a factor of 20 or more, and its growth."""
