"""Measures what each role costs, at sizes that span a factor of 20 or more, and its slopes."""
