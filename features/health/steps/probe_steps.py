"""Steps about the probes of a quarantined worker."""

from behave import when

BEFORE_QUARANTINE = 0.0


@when(
    '{count:d} tasks of worker "{worker}" from before the quarantine {end}'
    ' during a probe'
)
def when_earlier_end(context, count, worker, end):
    context.monitor.record_probe_start(worker, context.now)
    for _ in range(count):
        context.monitor.record_task(
            worker,
            'c0',
            context.now,
            failed=end == 'fail',
            started_at=BEFORE_QUARANTINE,
        )


@when('the running probe of worker "{worker}" {outcome}')
def when_probe_ends(context, worker, outcome):
    context.monitor.record_task(
        worker,
        'c0',
        context.now,
        failed=outcome == 'fails',
        started_at=context.now,
    )
