"""Stand-in for a trainer: it pulls steps, pretends to train, publishes weights."""

import random

import attrs

from gypsumshift import AsyncTrainer, Group
from gypsumshift.client import Delivery

WORDS = "hospital court clinic interpreter sign booking Dakar Thies noon urgent".split()


@attrs.define
class FakeTrainer:
    """A trainer over the public client.

    Attributes
    ----------
    trainer : AsyncTrainer
    name : str
    seed : int
    samples, max_tokens : int
        Of each group.
    submitted : int
        Groups so far.
    """

    trainer: AsyncTrainer
    name: str
    seed: int = 0
    samples: int = 4
    max_tokens: int = 32
    submitted: int = 0

    def next_groups(self, count: int) -> list[Group]:
        """Return new groups; the same seed gives the same."""
        chance = random.Random(f"{self.seed}/{self.submitted}")
        groups = []
        for number in range(self.submitted, self.submitted + count):
            prompt = " ".join(chance.choices(WORDS, k=24))
            groups.append(
                Group(
                    id=f"{self.name}-{self.seed}-{number}",
                    prompt=prompt,
                    samples=self.samples,
                    max_tokens=self.max_tokens,
                )
            )
        self.submitted += count
        return groups

    async def submit(self, count: int) -> int:
        """Submit new groups."""
        return await self.trainer.submit(self.next_groups(count))

    async def publish_next_version(
        self, delivery: Delivery, weights: bytes = b"weights"
    ) -> int:
        """Publish the version that a step leads to; return it."""
        version = max(delivery.version, self.trainer.version) + 1
        await self.trainer.publish(version, weights)
        return version
