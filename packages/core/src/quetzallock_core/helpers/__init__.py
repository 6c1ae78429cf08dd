"""Small functions that several domains use."""
