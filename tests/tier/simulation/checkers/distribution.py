"""Documents at the fronts: no older one after a newer one, and lists of one root at a time."""

from itertools import pairwise

from crowwing.tier.distribution.documents import SIDECARS, Document


def check_documents(accepted: dict[str, list[Document]]) -> list[str]:
    """Violations of the order in which fronts receive documents."""
    violations = []
    contents: dict[tuple[str, tuple[int, ...]], bytes] = {}
    for host, documents in accepted.items():
        for document in documents:
            name = (document.kind, document.version)
            if contents.setdefault(name, document.body) != document.body:
                violations.append(f"{host}: two {document.kind} documents are both {document.version}")
        violations += _check_order(host, [x for x in documents if x.kind == SIDECARS])
    return violations


def _check_order(host: str, documents: list[Document]) -> list[str]:
    return [
        f"{host}: list {later.version} after {earlier.version}"
        for earlier, later in pairwise(documents)
        if later.version <= earlier.version
    ]
