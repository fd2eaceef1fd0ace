"""Show histograms, merged over all servers that are named."""

from __future__ import annotations

import collections.abc

from knapweedbeam_core import histogram_series as forms
from knapweedbeam_core import outcomes
from knapweedbeam_ctl import client, exit_codes, failures, models, output, picture
from knapweedbeam_ctl.commands import connection

PATH = "/v1/histograms"
HEADINGS = ("member", "class", "what", "count", "lowest", "50%", "90%", "99%", "99.9%")
TAIL_HEADINGS = ("highest", "picture, two columns for each doubling")
KIND_WORDS = {
    forms.Kind.WAIT: "wait",
    forms.Kind.RUN: "run",
    forms.Kind.RESPONSE: "response",
    forms.Kind.IDEAL_RATIO: "response to ideal",
}


def merge(
    found: collections.abc.Iterable[forms.Series],
) -> tuple[forms.Series, ...] | failures.Refused:
    """Return one series for each name."""
    merged = forms.merge(found)
    if isinstance(merged, outcomes.Refusal):
        return failures.Refused(
            client.OK_STATUSES.start, "malformed_answer", merged.detail
        )
    return merged


def show(access: connection.Connection, member: str) -> exit_codes.ExitCode:
    """Print the histograms of one member, or of all that the token may see."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    collected = api.get_each(PATH, models.HistogramsBody)
    if collected.failure is not None:
        return output.print_failure(collected.failure, access.as_json)
    output.print_left_out(collected.lost)
    merged = merge(series for body in collected.bodies for series in body.series)
    if not isinstance(merged, tuple):
        return output.print_failure(merged, access.as_json)
    series = tuple(one for one in merged if member in ("", one.member))
    if access.as_json:
        output.print_json(models.HistogramsBody(series))
    else:
        output.print_table(HEADINGS + TAIL_HEADINGS, map(build_row, series))
    return exit_codes.ExitCode.OK


def build_row(series: forms.Series) -> tuple[str, ...]:
    """Return one series as a row of the table."""
    percentiles = [point.value for point in series.percentiles]
    values = [series.lowest, *percentiles, series.highest]
    return (
        series.member,
        series.job_class,
        KIND_WORDS[series.kind],
        str(series.count),
        *(picture.show_value(series.kind, value) for value in values),
        picture.draw(picture.count_steps(series)),
    )
