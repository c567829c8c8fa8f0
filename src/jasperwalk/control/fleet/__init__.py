"""Control of the datagram plane: versioned configurations, the directory of nodes, members."""
