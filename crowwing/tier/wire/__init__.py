"""What backends say to each other: typed messages in CBOR, framed by their length, over TCP."""
