"""The INI texts of all tables, with the names of their files."""

from __future__ import annotations

import attrs

ROUTES_FILE = "routes.ini"
POOLS_FILE = "pools.ini"
ORGANISATIONS_FILE = "organisations.ini"


@attrs.frozen(kw_only=True)
class TableTexts:
    """INI texts of the tables, which are published together.

    :param routes: a section ``[route NAME]`` for each route.
    :param pools: a section ``[pool NAME]`` for each pool, and ``[engine NAME]`` for
        each kind of engine that pools name.
    :param organisations: a section ``[organisation NAME]`` for each organisation, one
        ``[limits]`` for the limits on callers' requests, and one ``[keys]`` that says
        whether callers need a key; None if the table is not given.
    :param routes_file: the file's name in error messages, as are ``pools_file`` and
        ``organisations_file``.
    """

    routes: str
    pools: str
    organisations: str | None = None
    routes_file: str = ROUTES_FILE
    pools_file: str = POOLS_FILE
    organisations_file: str = ORGANISATIONS_FILE
