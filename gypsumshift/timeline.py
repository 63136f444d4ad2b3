"""Render the merged events of all processes as text or as an HTML page."""

import datetime
import html

__all__ = ["as_html", "as_text"]

STYLE = """
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { padding: .2em .8em; text-align: left; border-bottom: 1px solid #ddd; }
td.time { font-family: monospace; white-space: nowrap; }
input { padding: .3em; width: 24em; margin-bottom: 1em; }
"""
SCRIPT = """
const field = document.getElementById("filter");
field.addEventListener("input", () => {
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.includes(field.value);
  }
});
"""
HUES = 12


def format_time(event: dict) -> str:
    """Return an event's time of day in UTC, with its tick unless that is 0."""
    time = datetime.datetime.fromtimestamp(event["time_us"] / 1e6, datetime.UTC)
    tick = f"+{event['tick']}" if event["tick"] else ""
    return f"{time:%H:%M:%S.%f}{tick}"


def as_text(events: list[dict]) -> str:
    """Render events as text, a line for each."""
    width = max((len(event["process"]) for event in events), default=0)
    lines = []
    for event in events:
        process, kind = event["process"].ljust(width), event["kind"].ljust(12)
        what = f"{event['subject']} {event['detail']}".rstrip()
        lines.append(f"{format_time(event)}  {process}  {kind} {what}")
    return "\n".join(lines)


def as_html(events: list[dict], subject: str) -> str:
    """Render events as a self-contained HTML page: a table with a filter field.

    Each process has a colour; there are `HUES` of them.
    """
    names = sorted({event["process"] for event in events})
    hues = {name: index % HUES * 360 // HUES for index, name in enumerate(names)}
    rows = []
    for event in events:
        cells = [
            format_time(event),
            *(event[k] for k in ("process", "kind", "subject")),
        ]
        cells.append(event["detail"])
        colour = f"background: hsl({hues[event['process']]} 60% 94%)"
        inner = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
        inner = inner.replace("<td>", '<td class="time">', 1)
        rows.append(f'<tr style="{colour}">{inner}</tr>')
    title = html.escape(f"Timeline of {subject or 'everything'}")
    header = "".join(
        f"<th>{h}</th>" for h in ("Time", "Process", "Event", "Of", "Detail")
    )
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>'
        f"<style>{STYLE}</style><h1>{title}</h1>"
        '<input id="filter" placeholder="Show only rows with this text">'
        f"<table><thead><tr>{header}</tr></thead><tbody>{''.join(rows)}</tbody></table>"
        f"<script>{SCRIPT}</script></html>"
    )
