"""Assignment of models to engines right after the evacuation of a zone ended.

The engines of the zone are counted again, and the ones that took over their models
would change back at once. An engine that changes its model starts no item for a second
or two, so for some time engines keep their models, and engines without one get the
model with the highest load.
"""

from collections.abc import Iterable, Mapping

from gypsumshift.jobs.placement import EngineView

__all__ = ["MODEL_HOLD_SECONDS", "keep_models"]

# Time after the end of an evacuation for which engines keep their models.
MODEL_HOLD_SECONDS = 5.0


def keep_models(
    engines: Iterable[EngineView],
    previous: Mapping[str, tuple[str, ...]],
    shares: Mapping[str, float],
) -> dict[str, tuple[str, ...]] | None:
    """Return an assignment in which no engine changes its model.

    Parameters
    ----------
    engines : iterable of EngineView
        The ready engines of the service.
    previous : mapping
        Models by engine in the last assignment. An engine that is not in it has the
        model of its last heartbeat.
    shares : mapping
        Share of the work by model.

    Returns
    -------
    dict or None
        Models by engine; None if a model would have no engine.
    """
    kept: dict[str, tuple[str, ...]] = {}
    without_model = []
    for engine in sorted(engines, key=lambda engine: engine.id):
        known = previous.get(engine.id) or (engine.assigned_model,)
        models = tuple(model for model in known if model in shares)
        if models:
            kept[engine.id] = models
        else:
            without_model.append(engine.id)
    counts = dict.fromkeys(sorted(shares), 0)
    for models in kept.values():
        for model in models:
            counts[model] += 1
    for engine_id in without_model:
        model = max(counts, key=lambda m: (not counts[m], shares[m] / (counts[m] or 1)))
        kept[engine_id] = (model,)
        counts[model] += 1
    return kept if counts and all(counts.values()) else None
