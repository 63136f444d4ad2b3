"""Fake trainer: submits generated groups and publishes dummy weights."""

import random

import attrs

from gypsumshift import AsyncTrainer, Group
from gypsumshift.client import Delivery

WORDS = "hospital court clinic interpreter sign booking Dakar Thies noon urgent".split()


@attrs.define
class FakeTrainer:
    """A fake trainer that uses the public client.

    Attributes
    ----------
    trainer : AsyncTrainer
    name : str
    seed : int
    samples, max_tokens : int
        Samples of each group, and tokens of each sample at most.
    submitted : int
        Number of groups generated so far.
    """

    trainer: AsyncTrainer
    name: str
    seed: int = 0
    samples: int = 4
    max_tokens: int = 32
    submitted: int = 0

    def next_groups(self, count: int) -> list[Group]:
        """Return new groups; the same seed gives the same groups."""
        rng = random.Random(f"{self.seed}/{self.submitted}")
        groups = []
        for number in range(self.submitted, self.submitted + count):
            prompt = " ".join(rng.choices(WORDS, k=24))
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
        """Submit new groups; return how many the service did not have yet."""
        return await self.trainer.submit(self.next_groups(count))

    async def publish_next_version(
        self, delivery: Delivery, weights: bytes = b"weights"
    ) -> int:
        """Publish weights of the next version after a step; return the version."""
        version = max(delivery.version, self.trainer.version) + 1
        await self.trainer.publish(version, weights)
        return version
