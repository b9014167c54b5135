"""Draws the counts of a day as one HTML page."""

from pathlib import Path
from statistics import quantiles
from typing import Any, Final

from plotly import graph_objects
from plotly.subplots import make_subplots

from berylspread_cli.logs.counts import Counts, Series

WAITS_TITLE: Final = 'Wait from acceptance to start, ms'
EPOCHS_TITLE: Final = 'Coordinator and epoch'
MARKS_TITLE: Final = 'Nodes and dependencies lost and regained'
UNHEALTHY_TITLE: Final = 'Unhealthy workers'
PERCENTILES: Final = (50, 95, 99)
ROW_HEIGHT_PX: Final = 260
#: Part of the page between two charts, in total.
SPACING: Final = 0.4


def write_page(counts: Counts, target: Path) -> None:
    """Write a page that needs no other file.

    Raises:
        OSError: The file cannot be written.

    """
    titles = [
        *sorted(counts.series),
        WAITS_TITLE,
        EPOCHS_TITLE,
        MARKS_TITLE,
        UNHEALTHY_TITLE,
    ]
    figure = make_subplots(
        rows=len(titles),
        cols=1,
        shared_xaxes=True,
        subplot_titles=titles,
        vertical_spacing=SPACING / len(titles),
    )
    drawn = (
        *(_bars(counts.series[title]) for title in sorted(counts.series)),
        _waits(counts),
        _epochs(counts),
        _marks(counts),
        _unhealthy(counts),
    )
    for row, traces in enumerate(drawn, 1):
        for trace in traces:
            figure.add_trace(trace, row=row, col=1)
    figure.update_layout(
        barmode='stack',
        height=ROW_HEIGHT_PX * len(titles),
        title='Seconds since the first line',
    )
    target.write_text(figure.to_html(include_plotlyjs=True))


def _bars(series: Series) -> list[Any]:
    return [
        graph_objects.Bar(
            x=sorted(by_second),
            y=[by_second[second] for second in sorted(by_second)],
            name=name,
        )
        for name, by_second in sorted(series.items())
    ]


def _waits(counts: Counts) -> list[Any]:
    seconds = sorted(counts.waits_ms)
    return [
        graph_objects.Scatter(
            x=seconds,
            y=[_percentile(counts.waits_ms[each], percent) for each in seconds],
            name=f'{percent} of 100 within',
        )
        for percent in PERCENTILES
    ]


def _percentile(values: list[float], percent: int) -> float:
    if len(values) == 1:
        return values[0]
    return quantiles(values, n=100, method='inclusive')[percent - 1]


def _epochs(counts: Counts) -> list[Any]:
    return [
        graph_objects.Scatter(
            x=[second for second, _, _ in counts.coordinators],
            y=[node for _, node, _ in counts.coordinators],
            text=[str(epoch) for _, _, epoch in counts.coordinators],
            mode='lines+markers+text',
            line={'shape': 'hv'},
            name='coordinator, epoch',
        )
    ]


def _marks(counts: Counts) -> list[Any]:
    return [
        graph_objects.Scatter(
            x=[second for second, _ in counts.marks],
            y=[text for _, text in counts.marks],
            mode='markers',
            name='nodes and dependencies',
        )
    ]


def _unhealthy(counts: Counts) -> list[Any]:
    return [
        graph_objects.Scatter(
            x=[since, until],
            y=[worker, worker],
            mode='lines',
            name=f'{worker} unhealthy',
            showlegend=False,
        )
        for worker, since, until in counts.unhealthy
    ]
