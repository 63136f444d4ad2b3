"""Checks that results of a batch job never change their position between reads."""

__all__ = ["PositionChecker"]


class PositionChecker:
    """Compares the result pages of one job that were read at all gateways.

    Parameters
    ----------
    job : str
        Id of the job, named in each violation.
    """

    def __init__(self, job: str):
        self.job = job
        # Without violations, each list has one entry.
        self.positions_by_item: dict[str, list[int]] = {}
        self.results_by_position: dict[int, list[dict]] = {}

    def check_page(self, after: int, results: list[dict], reader: str) -> list[str]:
        """Add a page of results; return a text for each new violation.

        A violation is returned once, however often it is read.

        Parameters
        ----------
        after : int
            Position of the first result.
        results : list of dict
        reader : str
            Gateway at which the page was read.
        """
        violations = []
        for position, result in enumerate(results, after):
            found = self.check_position(position, result["id"])
            found += self.check_result(position, result)
            violations += [f"{self.job}: {text}, read at {reader}" for text in found]
        return violations

    def check_position(self, position: int, item: str) -> list[str]:
        """Return a violation if an item was read at another position before."""
        positions = self.positions_by_item.setdefault(item, [])
        if position in positions:
            return []
        positions.append(position)
        if len(positions) == 1:
            return []
        return [f"{item} is at position {position} and at {positions[0]}"]

    def check_result(self, position: int, result: dict) -> list[str]:
        """Return a violation if another result was read at a position before."""
        results = self.results_by_position.setdefault(position, [])
        if result in results:
            return []
        results.append(result)
        if len(results) == 1:
            return []
        item, first = result["id"], results[0]["id"]
        if item == first:
            return [f"{item} has two results at position {position}"]
        return [f"position {position} held {first} and then {item}"]
