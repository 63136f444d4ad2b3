"""Generate the committed code under ``gypsumshift/generated`` from ``schema/``.

The messages come from the Thrift compiler, the settings and declarations from
their JSON Schemas. Run ``make generate`` after a change of a schema.
"""

import json
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
OUTPUT = ROOT / "gypsumshift" / "generated"
SCALARS = {"string": "str", "integer": "int", "number": "float", "boolean": "bool"}


def annotation(schema):
    """Return the Python annotation of a property's schema."""
    if "$ref" in schema:
        return schema["$ref"].rsplit("/", 1)[-1]
    if schema["type"] == "array":
        return f"list[{annotation(schema['items'])}]"
    if schema["type"] == "object":
        return f"dict[str, {annotation(schema['additionalProperties'])}]"
    return SCALARS[schema["type"]]


def default(schema):
    """Return the source of a property's default, with its leading ``=``."""
    if "default" not in schema:
        return ""
    value = schema["default"]
    if "$ref" in schema:
        return f" = attrs.field(factory={annotation(schema)})"
    if isinstance(value, list):
        return " = attrs.field(factory=list)"
    if isinstance(value, dict):
        return " = attrs.field(factory=dict)"
    return f" = {value!r}"


def class_source(name, schema):
    """Return the source of the attrs class of an object's schema."""
    lines = ["@attrs.define(kw_only=True)", f"class {name}:"]
    lines += [f'    """{schema["description"]}', "", "    Attributes", "    ----------"]
    for field, value in schema["properties"].items():
        lines.append(f"    {field} : {annotation(value)}")
        lines.append(f"        {value['description']}")
    lines += ['    """', ""]
    for field, value in schema["properties"].items():
        lines.append(f"    {field}: {annotation(value)}{default(value)}")
    return "\n".join(lines)


def ordered(definitions):
    """Return the names of the definitions, each after those that it refers to."""
    done = []

    def visit(name):
        if name in done:
            return
        for value in definitions[name]["properties"].values():
            target = value.get("$ref") or value.get("items", {}).get("$ref")
            if target:
                visit(target.rsplit("/", 1)[-1])
        done.append(name)

    for name in definitions:
        visit(name)
    return done


def generate_classes(source, module):
    """Write the attrs classes of one JSON Schema, and the schema beside them."""
    schema = json.loads((SCHEMA / source).read_text())
    definitions = {schema["title"]: schema, **schema.get("$defs", {})}
    names = ordered(definitions)
    parts = [f'"""Generated from schema/{source} by tools/generate.py."""']
    parts.append("import attrs")
    parts.append(f"__all__ = {sorted(names)!r}")
    parts += [class_source(name, definitions[name]) for name in names]
    (OUTPUT / module).write_text("\n\n\n".join(parts) + "\n")
    shutil.copy(SCHEMA / source, OUTPUT / source)


def generate_messages():
    """Write the Thrift structs of the messages between processes."""
    with tempfile.TemporaryDirectory() as folder:
        source = str(SCHEMA / "messages.thrift")
        command = ["thrift", "--gen", "py:slots", "-out", folder, source]
        subprocess.run(command, check=True)
        generated = pathlib.Path(folder) / "gypsumshift" / "generated" / "ttypes.py"
        shutil.copy(generated, OUTPUT / "messages.py")


def main():
    """Generate everything."""
    OUTPUT.mkdir(exist_ok=True)
    package = '"""Code generated from schema/; change the schema instead."""\n'
    (OUTPUT / "__init__.py").write_text(package)
    generate_classes("settings.schema.json", "settings.py")
    generate_classes("declarations.schema.json", "declarations.py")
    if shutil.which("thrift") is None:
        sys.exit("generate: no Thrift compiler; install thrift-compiler 0.17")
    generate_messages()


if __name__ == "__main__":
    main()
