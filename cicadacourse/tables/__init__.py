"""The tables of routes and pools: model, parser, fold and follower."""

from cicadacourse.tables._model import Pool, Route, Tables

__all__ = ["Pool", "Route", "Tables"]
