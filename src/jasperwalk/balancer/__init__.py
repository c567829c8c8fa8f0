"""The balancer process: classifies datagrams, decides and forwards."""
