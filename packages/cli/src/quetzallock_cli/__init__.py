"""The command line for operators and submitters."""
