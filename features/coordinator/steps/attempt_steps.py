"""Steps about the attempts of tasks and gangs that are counted."""

from behave import then


@then('the log counts the failed attempts of job "{job_id}" as')
def step_counted(context, job_id):
    found = [
        [str(line[name]) for name in context.table.headings]
        for line in context.cell.events('attempt-failed')
        if line['task'].startswith(f'{job_id}.')
    ]
    expected = [list(row.cells) for row in context.table]
    assert found == expected, found
