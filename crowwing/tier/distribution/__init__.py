"""Distribution of documents to all backends: relay tree, peer sampling and anti-entropy."""
