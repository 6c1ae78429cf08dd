"""Workers: commands to them, and requests to the backend servers on them."""
