"""The protocol of the platform's workers."""
