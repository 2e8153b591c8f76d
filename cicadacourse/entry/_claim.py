"""Claims the key of a call that may run once, before the call is sent."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import xxhash
from returns.result import Failure, Result, Success

from cicadacourse.claims import ClaimKind, ClaimOutcome
from cicadacourse.entry._attempts import Attempts
from cicadacourse.errors import Error, ErrorKind, Run

if TYPE_CHECKING:
    from cicadacourse.application import Application

HTTP_OK = 200


class KeyClaim:
    """The claim of one call's key, if it has one and may run only once.

    The claim goes before the first byte to any endpoint. It is never taken over,
    so that at most one instance ever sends the call.
    """

    def __init__(self, app: Application, attempts: Attempts) -> None:
        self.app = app
        request = attempts.request
        self._request_id = request.request_id
        self._deadline = attempts.deadline
        self._needed = bool(request.key) and not attempts.repeatable
        self._won = False
        # Organisations choose their keys on their own.
        scope = xxhash.xxh3_64_hexdigest(request.organisation.encode())
        self._key = f"{request.key}.{scope}"

    async def take(self) -> Result[Any, Error] | None:
        """Claims the key once.

        :returns: None if the call may be sent; else its answer, which is that of
            the earlier request with this key where one is known.
        """
        if self._won or not self._needed:
            return None
        claims = self.app.find("claims")
        if claims is None:
            error = Error(ErrorKind.NOT_READY, "keys are not served", "no_claims")
            return Failure(error)
        match await claims.claim(self._key, self._request_id, self._deadline):
            case Failure(error):
                return Failure(
                    Error(
                        error.kind,
                        error.detail,
                        error.reason,
                        run=Run.NOT_RUN,
                        retry_after_s=error.retry_after_s,
                    )
                )
            case Success(outcome):
                pass
        if outcome.kind is ClaimKind.WON:
            self._won = True
            return None
        return _answer_of_other(outcome)

    async def record(self, result: Result[Any, Error]) -> None:
        """Records a call's answer for later requests with its key."""
        if not self._won:
            return
        if isinstance(result, Success):
            status, body = HTTP_OK, {"result": result.unwrap()}
        else:
            error = result.failure()
            status, body = error.answer.status, {"error": error.to_json()}
        await self.app.get("claims").record_outcome(
            self._key, self._request_id, status, json.dumps(body).encode()
        )


def _answer_of_other(outcome: ClaimOutcome) -> Result[Any, Error]:
    """Returns what is known of the request that holds a key."""
    if outcome.kind is ClaimKind.EXPIRED:
        return Failure(Error(ErrorKind.KEY_EXPIRED, "the key is too old"))
    holder = f"the key is claimed by request {outcome.request_id}"
    if outcome.status is None or not outcome.body:
        return Failure(Error(ErrorKind.KEY_CLAIMED, holder, run=Run.UNKNOWN))
    body = json.loads(outcome.body)
    if outcome.status == HTTP_OK:
        return Success(body["result"])
    run = Run(body["error"]["run"])
    reason = "key_used_up" if run is Run.NOT_RUN else "key_outcome_unknown"
    return Failure(Error(ErrorKind.KEY_CLAIMED, holder, reason, run=run))
