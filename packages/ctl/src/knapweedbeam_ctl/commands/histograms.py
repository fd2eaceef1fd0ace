"""Show histograms, merged over all given servers."""

from __future__ import annotations

import collections.abc

from knapweedbeam_core import histogram_series, outcomes
from knapweedbeam_ctl import client, exit_codes, failures, models, output, sparkline
from knapweedbeam_ctl.commands import connection

PATH = "/v1/histograms"
HEADINGS = ("member", "class", "what", "count", "lowest", "50%", "90%", "99%", "99.9%")
TAIL_HEADINGS = ("highest", "distribution, two columns for each doubling")
KIND_LABELS = {
    histogram_series.Kind.WAIT: "wait",
    histogram_series.Kind.RUN: "run",
    histogram_series.Kind.RESPONSE: "response",
    histogram_series.Kind.IDEAL_RATIO: "response to ideal",
}


def merge_series(
    series: collections.abc.Iterable[histogram_series.Series],
) -> tuple[histogram_series.Series, ...] | failures.Refused:
    """Merge the series of all servers into one for each series name."""
    merged = histogram_series.merge(series)
    if isinstance(merged, outcomes.Refusal):
        return failures.Refused(
            client.SUCCESS_STATUSES.start, "malformed_answer", merged.detail
        )
    return merged


def show(settings: connection.ConnectionSettings, member: str) -> exit_codes.ExitCode:
    """Print the histograms of one member, or of all that the token gives access to."""
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    collected = api.get_each(PATH, models.HistogramsBody)
    if collected.failure is not None:
        return output.print_failure(collected.failure, settings.as_json)
    output.print_unanswered(collected.unanswered)
    merged = merge_series(series for body in collected.bodies for series in body.series)
    if not isinstance(merged, tuple):
        return output.print_failure(merged, settings.as_json)
    series = tuple(item for item in merged if member in ("", item.member))
    if settings.as_json:
        output.print_json(models.HistogramsBody(series))
    else:
        output.print_table(HEADINGS + TAIL_HEADINGS, map(build_row, series))
    return exit_codes.ExitCode.OK


def build_row(series: histogram_series.Series) -> tuple[str, ...]:
    """Return the table row of a series."""
    percentiles = [point.value for point in series.percentiles]
    values = [series.lowest, *percentiles, series.highest]
    return (
        series.member,
        series.job_class,
        KIND_LABELS[series.kind],
        str(series.count),
        *(sparkline.format_value(series.kind, value) for value in values),
        sparkline.build_sparkline(sparkline.count_by_column(series)),
    )
