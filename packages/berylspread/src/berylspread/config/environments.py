"""The environments that documents are written for."""

from typing import Final

TRIAL: Final = 'trial'
PRODUCTION: Final = 'production'
ENVIRONMENTS: Final = (TRIAL, PRODUCTION)
