"""HTTP/1.1 server and client with byte-exact framing."""
