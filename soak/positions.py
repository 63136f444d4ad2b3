"""Positions: where trainers saw a job's results, which may never change."""

__all__ = ["PositionChecker"]


class PositionChecker:
    """What was read of one job so far, at all gateways.

    Parameters
    ----------
    job : str
    """

    def __init__(self, job: str):
        self.job = job
        # Positions by item, and results by position; both have one where all is well.
        self.positions_by_item: dict[str, list[int]] = {}
        self.results_by_position: dict[int, list[dict]] = {}

    def check_page(self, after: int, results: list[dict], reader: str) -> list[str]:
        """Take results that stand from a position on; return what is wrong.

        What is wrong is told once, however often it is read.

        Parameters
        ----------
        after : int
        results : list of dict
        reader : str
            Gateway that gave them.
        """
        wrong = []
        for position, result in enumerate(results, after):
            told = self.check_position(position, result["id"])
            told += self.check_result(position, result)
            wrong += [f"{self.job}: {text}, by {reader}" for text in told]
        return wrong

    def check_position(self, position: int, item: str) -> list[str]:
        """Return what is wrong with the position of an item."""
        places = self.positions_by_item.setdefault(item, [])
        if position in places:
            return []
        places.append(position)
        if len(places) == 1:
            return []
        return [f"{item} stands at position {position} and at {places[0]}"]

    def check_result(self, position: int, result: dict) -> list[str]:
        """Return what is wrong with the result at a position."""
        held = self.results_by_position.setdefault(position, [])
        if result in held:
            return []
        held.append(result)
        if len(held) == 1:
            return []
        item, first = result["id"], held[0]["id"]
        if item == first:
            return [f"{item} has two results at position {position}"]
        return [f"position {position} held {first} and then {item}"]
