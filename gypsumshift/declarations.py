"""Load declarations (pools, workspaces, keys, trainers) and check their references."""

import pathlib

import attrs

from gypsumshift import documents
from gypsumshift.generated.declarations import Parameters, Pool, Trainer
from gypsumshift.outcomes import Invalid, Problem
from gypsumshift.workspaces import Workspace, Workspaces

__all__ = ["Catalog", "load", "parse"]

SCHEMA = "declarations.schema.json"
SUFFIXES = (".json", ".jsonc", ".json5")
SECTIONS = ("pools", "templates", "workspaces", "keys", "trainers")


@attrs.frozen
class Catalog:
    """Valid declarations with their references resolved.

    Attributes
    ----------
    source : dict
        The declarations as plain JSON.
    zones : tuple of str
    pools, trainers : dict
        By name.
    workspaces : dict of str to Parameters
        Effective parameters of each workspace.
    keys : Workspaces
        Workspaces that require a key, with the digests of their keys.
    """

    source: dict = attrs.field(factory=dict)
    zones: tuple[str, ...] = ()
    pools: dict[str, Pool] = attrs.field(factory=dict)
    workspaces: dict[str, Parameters] = attrs.field(factory=dict)
    trainers: dict[str, Trainer] = attrs.field(factory=dict)
    keys: Workspaces = attrs.field(factory=Workspaces)


def load(path: pathlib.Path) -> Catalog | Invalid:
    """Load the declarations in a file, or in all files of a directory."""
    if not path.is_dir():
        files = [path]
    else:
        files = sorted(p for p in path.rglob("*") if p.suffix in SUFFIXES)
    if not files:
        what = f"the directory has no file with the suffix {' or '.join(SUFFIXES)}"
        return Invalid((Problem(str(path), what, "add a file of declarations"),))
    values, problems = {}, []
    for file in files:
        value = documents.read_file(file)
        if isinstance(value, Invalid):
            problems += value.problems
        else:
            values[str(file)] = value
    return Invalid(tuple(problems)) if problems else merge_files(values)


def parse(value: object, name: str) -> Catalog | Invalid:
    """Check the declarations in a parsed JSON value; ``name`` stands for its file."""
    return merge_files({name: value})


def merge_files(values: dict[str, object]) -> Catalog | Invalid:
    """Check the declarations of several files and merge them into one catalog."""
    schema = documents.load_schema(SCHEMA)
    problems = []
    for name, value in values.items():
        problems += documents.check_against_schema(value, schema, name)
    if problems:
        return Invalid(tuple(problems))
    checker = DeclarationChecker()
    for name, value in values.items():
        checker.add_file(name, value)
    return checker.build_catalog()


class DeclarationChecker:
    """Collects declarations of several files and checks their references."""

    def __init__(self):
        self.problems: list[Problem] = []
        self.zones: list[str] = []
        self.by_name = {section: {} for section in SECTIONS}
        self.locations: dict[tuple[str, str], str] = {}

    def add_file(self, name: str, value: dict) -> None:
        """Add the declarations of a file."""
        for zone in value.get("zones", []):
            if zone in self.zones:
                self.add_problem(
                    f"{name}: zones",
                    f"the zone {zone!r} is declared twice",
                    "remove one",
                )
            self.zones.append(zone)
        for section in SECTIONS:
            for number, item in enumerate(value.get(section, [])):
                self.add_item(section, item, f"{name}: {section}[{number}]")

    def add_item(self, section: str, item: dict, where: str) -> None:
        """Add a named declaration; a name already used is a problem."""
        key = (section, item["name"])
        if key in self.locations:
            what = (
                f"the name {item['name']!r} is already taken by {self.locations[key]}"
            )
            self.add_problem(f"{where}.name", what, "choose another name")
            return
        self.locations[key] = where
        self.by_name[section][item["name"]] = item

    def add_problem(self, where: str, what: str, fix: str) -> None:
        """Record a problem."""
        self.problems.append(Problem(where, what, fix))

    def check_reference(self, section, name, where) -> bool:
        """Return whether a name is declared; record a problem if it is not."""
        if name in self.by_name[section]:
            return True
        known = ", ".join(self.by_name[section]) or "none is declared"
        self.add_problem(where, f"no such {section[:-1]}: {name!r}", f"known: {known}")
        return False

    def build_catalog(self) -> Catalog | Invalid:
        """Check all references; return the catalog, or all problems found."""
        self.check_pools()
        workspaces = self.check_workspaces()
        keys = self.check_keys()
        self.check_trainers()
        if self.problems:
            return Invalid(tuple(self.problems))
        named = self.by_name
        source = {"zones": self.zones}
        source |= {section: list(named[section].values()) for section in SECTIONS}
        return Catalog(
            source=source,
            zones=tuple(self.zones),
            pools={n: documents.build(v, Pool) for n, v in named["pools"].items()},
            workspaces=workspaces,
            keys=keys,
            trainers={
                n: documents.build(v, Trainer) for n, v in named["trainers"].items()
            },
        )

    def check_pools(self) -> None:
        """Check that the zones of the pools are declared."""
        for name, pool in self.by_name["pools"].items():
            where = self.locations["pools", name]
            for zone in pool.get("zones", []):
                if zone not in self.zones:
                    known = ", ".join(self.zones) or "none is declared"
                    what = f"no such zone: {zone!r}"
                    self.add_problem(f"{where}.zones", what, f"known: {known}")

    def check_workspaces(self) -> dict[str, Parameters]:
        """Check templates and workspaces; return the effective parameters."""
        for name, template in self.by_name["templates"].items():
            self.check_parameters(template, self.locations["templates", name])
            self.template_chain(name, f"{self.locations['templates', name]}.extends")
        effective = {}
        for name, workspace in self.by_name["workspaces"].items():
            where = self.locations["workspaces", name]
            self.check_parameters(workspace, where)
            if not self.check_reference(
                "templates", workspace["template"], f"{where}.template"
            ):
                continue
            merged = {}
            for template in reversed(self.template_chain(workspace["template"], None)):
                merged |= template.get("parameters", {})
            merged |= workspace.get("parameters", {})
            effective[name] = documents.build(merged, Parameters)
        return effective

    def template_chain(self, name: str, where: str | None) -> list[dict]:
        """Return a template and those it extends, directly or not, nearest first.

        A cycle and an undeclared base of the template end the chain. They are recorded
        as problems at ``where``, if it is given.
        """
        seen, found = [], []
        while name:
            if name in seen:
                if where:
                    path = " -> ".join([*seen, name])
                    self.add_problem(
                        where,
                        f"templates extend each other in a cycle: {path}",
                        "remove one of these references",
                    )
                break
            if name not in self.by_name["templates"]:
                if where and len(seen) == 1:
                    self.check_reference("templates", name, where)
                break
            seen.append(name)
            found.append(self.by_name["templates"][name])
            name = found[-1].get("extends", "")
        return found

    def check_parameters(self, item: dict, where: str) -> None:
        """Check that the pools named in parameters are declared."""
        parameters = item.get("parameters", {})
        pool = parameters.get("model_pool")
        if pool:
            self.check_reference("pools", pool, f"{where}.parameters.model_pool")
        for service, pool in parameters.get("services", {}).items():
            self.check_reference(
                "pools", pool, f"{where}.parameters.services.{service}"
            )

    def check_keys(self) -> Workspaces:
        """Check the keys; return their workspaces with the digests of the keys."""
        digests: dict[str, set[str]] = {}
        names: dict[str, str] = {}
        for name, key in self.by_name["keys"].items():
            where = self.locations["keys", name]
            self.check_reference("workspaces", key["workspace"], f"{where}.workspace")
            other = names.setdefault(key["digest"], name)
            if other != name:
                what = f"the digest is already that of the key {other!r}"
                self.add_problem(f"{where}.digest", what, "create another key")
            digests.setdefault(key["workspace"], set()).add(key["digest"])
        return Workspaces(
            Workspace(name, frozenset(found)) for name, found in digests.items()
        )

    def check_trainers(self) -> None:
        """Check the workspaces and pools of the trainers."""
        for name, trainer in self.by_name["trainers"].items():
            where = self.locations["trainers", name]
            self.check_reference(
                "workspaces", trainer["workspace"], f"{where}.workspace"
            )
            if not self.check_reference("pools", trainer["pool"], f"{where}.pool"):
                continue
            if self.by_name["pools"][trainer["pool"]]["kind"] != "model":
                what = f"the pool {trainer['pool']!r} is not of kind model"
                self.add_problem(f"{where}.pool", what, "name a pool of kind model")
