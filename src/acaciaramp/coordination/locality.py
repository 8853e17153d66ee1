"""Order in which instances are preferred as replicas of a log.

Answers the load of commits on the links between regions: a majority within one
region commits without a round trip to another one, and only the replicas beyond
it receive each entry over such a link.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from acaciaramp.coordination.messages import Node


def order_as_replicas(nodes: Sequence[Node], region: str | None) -> list[Node]:
    """Return instances in the order in which they are to become replicas.

    Those of a region come first. Within a region the availability zones take
    turns, so that the failure of one takes as few replicas as possible.

    Args:
        nodes: The instances.
        region: The region to prefer; None for the one with most instances.
    """
    preferred = _largest_region(nodes) if region is None else region
    regions = sorted(
        {node.region for node in nodes},
        key=lambda name: (name != preferred, name),
    )
    ordered: list[Node] = []
    for name in regions:
        ordered.extend(
            _alternate_zones(node for node in nodes if node.region == name)
        )
    return ordered


def _largest_region(nodes: Sequence[Node]) -> str:
    counts = collections.Counter(node.region for node in nodes)
    return max(sorted(counts), key=lambda name: counts[name], default='')


def _alternate_zones(nodes: Iterable[Node]) -> list[Node]:
    seen: collections.Counter[str] = collections.Counter()
    ranked = []
    for candidate in sorted(nodes, key=lambda node: node.instance):
        zone = candidate.availability_zone
        ranked.append((seen[zone], zone, candidate))
        seen[zone] += 1
    ranked.sort(key=lambda entry: entry[:2])
    return [node for _, _, node in ranked]
