"""Steps for warnings about documents."""

from behave import then, when
from behave.runner import Context

from berylspread.config import Document, find_warnings


@when('the team "{team}" of "{organisation}" is added without a queue')
def step_add_team(context: Context, team: str, organisation: str):
    context.editor.parser[f'team {team}'] = {
        'organisation': organisation,
        'share': '0',
    }


@then('the only warning is in [{section}] and says "{reason}"')
def step_only_warning(context: Context, section: str, reason: str):
    document = context.editor.parse()
    assert isinstance(document, Document), document
    warnings = find_warnings(document)
    assert len(warnings) == 1, warnings
    assert warnings[0].section == section, warnings
    assert reason in warnings[0].reason, warnings
