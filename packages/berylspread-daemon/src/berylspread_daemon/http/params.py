"""Types of the handler parameters that litestar fills in."""

from typing import Annotated

from litestar.params import Dependency, Parameter

from berylspread.entry.access import Caller
from berylspread.entry.service import EntryService

Entry = Annotated[EntryService, Dependency(skip_validation=True)]
OptionalCaller = Annotated[Caller | None, Dependency(skip_validation=True)]
Authorization = Annotated[str, Parameter(header='Authorization')]
