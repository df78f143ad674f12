"""HTTP/1.1 over asyncio streams, with h11: a server and a pooling client."""
