"""quetzallockd: the daemon that runs on each entry host."""
