"""The replicas of all the platform's topics on this host.

`foxtailreach.core.dispatch.topic_mirror` tells how replicas are compared.
"""

from __future__ import annotations

from collections.abc import Iterable

from foxtailreach.core.dispatch.changes import Change
from foxtailreach.core.dispatch.freshness import Freshness
from foxtailreach.core.dispatch.messages import TopicCopy, TopicVersion
from foxtailreach.core.dispatch.retention import RetainedRecords
from foxtailreach.core.dispatch.topic_mirror import NO_VERSION, TopicMirror

__all__ = ('NO_VERSION', 'Change', 'StateMirror', 'TopicMirror')

_UNREAD = TopicVersion('', NO_VERSION, NO_VERSION, 0)


class StateMirror:
    """The replicas of all topics on this host.

    `retained` are targets and `retained_orders` are orders of the operators
    that the topics lack but that are still used; `freshness` tells until when
    this host knows of all changes of the configuration.
    """

    __slots__ = ('freshness', 'retained', 'retained_orders', 'topics')

    def __init__(self, topics: Iterable[TopicMirror]) -> None:
        """Create a mirror of these topics."""
        self.topics = {topic.name: topic for topic in topics}
        self.retained = RetainedRecords()
        self.retained_orders = RetainedRecords()
        self.freshness = Freshness()

    def versions(self) -> tuple[TopicVersion, ...]:
        """Return the version of each topic."""
        return tuple(topic.version for topic in self.topics.values())

    def pull_versions(self) -> tuple[TopicVersion, ...]:
        """Return the versions for the next pull."""
        return tuple(topic.pull_version for topic in self.topics.values())

    @property
    def is_diverged(self) -> bool:
        """Whether any topic needs a whole copy."""
        return any(topic.is_diverged for topic in self.topics.values())

    def is_behind(self, versions: Iterable[TopicVersion]) -> bool:
        """Tell whether another host has a newer version of any topic."""
        return any(
            version.topic in self.topics
            and self.topics[version.topic].is_behind(version)
            for version in versions
        )

    def contradicted(
        self, versions: Iterable[TopicVersion]
    ) -> tuple[TopicMirror, ...]:
        """Return the topics of which another host holds other content."""
        return tuple(
            self.topics[version.topic]
            for version in versions
            if version.topic in self.topics
            and self.topics[version.topic].contradicts(version)
        )

    def follow(self, versions: Iterable[TopicVersion]) -> bool:
        """Advance the topics that are the same on another host.

        Return whether any of them led to a newer era of the store.
        """
        entered = [
            self.topics[version.topic].follow(version)
            for version in versions
            if version.topic in self.topics
        ]
        return any(entered)

    def deltas_since(
        self,
        versions: Iterable[TopicVersion],
    ) -> tuple[TopicCopy, ...]:
        """Return the delta of each topic that is not older here."""
        known = {version.topic: version for version in versions}
        copies = []
        for name, topic in self.topics.items():
            since = known.get(name, _UNREAD)
            held = (topic.era, topic.next_offset)
            if topic.is_read and held >= (since.era, since.next_offset):
                copies.append(topic.copy(since.next_offset, since.era))
        return tuple(copies)

    def adopt(self, copies: Iterable[TopicCopy]) -> bool:
        """Apply copies from another host; return whether any changed this."""
        adopted = [
            self.topics[copy.topic].adopt(copy)
            for copy in copies
            if copy.topic in self.topics
        ]
        return any(adopted)
