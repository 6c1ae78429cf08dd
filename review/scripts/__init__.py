"""The scenarios of the review's cases."""
