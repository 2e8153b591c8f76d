"""Serves a request of a ``generate`` route: one whole stream from engines."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, AsyncContextManager

from returns.result import Failure, Result, Success

from cicadacourse.endpoints import Endpoint, Lines
from cicadacourse.entry._attempts import NOT_SENT, Attempts
from cicadacourse.entry._relay import AnswerCheck, lost_stream
from cicadacourse.entry._request import ResumeToken
from cicadacourse.entry._settings import RESUMES, TOKENS_PASSED, EntrySettings
from cicadacourse.entry._sink import Sink, end_line, header_line, text_line
from cicadacourse.entry._stall import STALLED, Progress, stall_guard
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.routing import PREFIX_BLOCKS, Grant, Outcome, Work
from cicadacourse.util.hashing import prefix_hashes

if TYPE_CHECKING:
    from cicadacourse.application import Application

RESUMES_PER_ATTEMPT = 2
PREFILL_SLACK = 4.0
SILENCES_WHILE_DECODING = 3
PROBES_PER_TIME_LIMIT = 4
RELEASE_TIMEOUT_S = 2.0


class Generation:
    """Runs one request's attempts until its answer is whole.

    :param attempts: the request and its attempts so far.
    :param sink: where the answer goes.
    """

    def __init__(self, app: Application, attempts: Attempts, sink: Sink) -> None:
        self.app = app
        self._attempts = attempts
        self._request = attempts.request
        self._sink = sink
        self._client = app.get("endpoint_client")
        self._emitted: list[str] = []
        resume = self._request.resume
        if resume is not None:
            self._emitted.append(resume.text)
        position = resume.position if resume else 0
        self._check = AnswerCheck(self._request.request_id, app.metrics, position)

    async def run(self) -> Result[None, Error]:
        """Streams the whole answer, or returns why it cannot be made whole."""
        if self._request.resume is not None:
            self._attempts.may_have_run = True
            if await self._continue_stream():
                return Success(None)
            if not self._attempts.repeatable:
                detail = "the stream is gone and the request may not be repeated"
                return Failure(
                    self._attempts.final(Error(ErrorKind.STREAM_LOST, detail))
                )
        return await self._run_attempts()

    async def _run_attempts(self) -> Result[None, Error]:
        while True:
            work = self._work(self._attempts.start())
            match await self._attempts.acquire(work):
                case Failure(error):
                    return Failure(error)
                case Success(grant):
                    pass
            error = await self._run_granted(work, grant)
            if error is None:
                return Success(None)
            final = await self._attempts.prepare_another(grant.endpoint, error)
            if final is not None:
                return Failure(final)

    def _work(self, attempt: int) -> Work:
        emitted_tokens = self._check.position
        prompt = self._request.prompt.encode()
        return Work(
            request_id=self._request.request_id,
            attempt=attempt,
            organisation=self._request.organisation,
            pool=self._attempts.pool.name,
            prompt_tokens=self._request.prompt_tokens + emitted_tokens,
            max_output_tokens=max(self._request.max_tokens - emitted_tokens, 0),
            prefix=tuple(prefix_hashes(prompt, PREFIX_BLOCKS)),
        )

    async def _continue_stream(self) -> bool:
        """Goes on with the stream of a caller's resume token, if it still runs."""
        resume = self._request.resume
        token = resume.token if resume else None
        own_prefix = f"{self._request.request_id}."
        if token is None or not token.session.startswith(own_prefix):
            return False
        endpoint = self.app.get("directory").find(token.endpoint)
        if endpoint is None:
            return False
        self._attempts.number = token.attempt
        with contextlib.suppress(CicadacourseError):
            await self._resume(endpoint, token.session)
            await self._finish()
            return True
        self._release(endpoint, token.session)
        return False

    async def _run_granted(self, work: Work, grant: Grant) -> Error | None:
        """Runs one attempt; returns why it failed, or None if the answer is whole."""
        outcome = Outcome.ABANDONED
        try:
            error = await self._stream_and_resume(work, grant)
            outcome = Outcome.COMPLETE if error is None else Outcome.FAILED
            if error is not None and error.kind in NOT_SENT:
                outcome = Outcome.REFUSED
        finally:
            self.app.get("routing").release(grant, outcome)
        if error is None:
            self.app.get("directory").record_success(grant.endpoint.name)
            await self._finish()
        return error

    async def _stream_and_resume(self, work: Work, grant: Grant) -> Error | None:
        error = await self._start(work, grant)
        resumes = 0
        while error is not None and resumes < RESUMES_PER_ATTEMPT:
            if error.kind in NOT_SENT or error.label == STALLED:
                return error
            resumes += 1
            progress_before = self._check.position
            error = await self._try_resume(grant)
            if self._check.position > progress_before:
                resumes = 0
        return error

    async def _start(self, work: Work, grant: Grant) -> Error | None:
        prepared = await self.app.get("routing").prepare(grant, self._request.prompt)
        if isinstance(prepared, Failure):
            return prepared.failure()
        ran_before = self._attempts.may_have_run
        self._attempts.note_sent()
        stream = self._client.generate(
            grant.endpoint,
            grant,
            work,
            self._request.prompt,
            "".join(self._emitted),
            self._attempts.time_left_s,
        )
        try:
            await self._relay(stream, grant.endpoint, grant.session, work.attempt)
        except CicadacourseError as failure:
            if failure.error.kind in NOT_SENT:
                self._attempts.may_have_run = ran_before
            return failure.error
        return None

    async def _try_resume(self, grant: Grant) -> Error | None:
        try:
            await self._resume(grant.endpoint, grant.session)
        except CicadacourseError as failure:
            return failure.error
        return None

    async def _resume(self, endpoint: Endpoint, session: str) -> None:
        position = self._check.position
        stream = self._client.resume(
            endpoint, session, position, self._attempts.time_left_s
        )
        outcome = "failed"
        try:
            await self._relay(stream, endpoint, session, self._attempts.number)
            outcome = "complete"
        finally:
            self.app.metrics.count(RESUMES, outcome=outcome)

    async def _relay(
        self,
        stream: AsyncContextManager[Lines],
        endpoint: Endpoint,
        session: str,
        attempt: int,
    ) -> None:
        """Passes a stream's own lines on up to its end mark."""
        progress = Progress()
        header = self._header(endpoint, session, attempt)
        before = self._check.position
        try:
            async with self._guard(progress, endpoint), stream as lines:
                async for line in lines:
                    if self._check.take(line, session, attempt) is None:
                        continue
                    progress.note()
                    if line.end:
                        return
                    self._emitted.append(line.text)
                    await self._pass_on(header + text_line(line), progress)
                    header = b""
        finally:
            self.app.metrics.count(TOKENS_PASSED, self._check.position - before)
        raise lost_stream("stream ended without its mark", "no_end_mark")

    async def _pass_on(self, data: bytes, progress: Progress) -> None:
        """Sends to the caller; while it does not take it, the engine is not stuck."""
        progress.reader_waits = True
        await self._sink.send(data)
        progress.reader_waits = False
        progress.note()

    def _header(self, endpoint: Endpoint, session: str, attempt: int) -> bytes:
        token = ResumeToken(endpoint.name, session, attempt).encode()
        return header_line(self._request.request_id, attempt, token)

    def _guard(
        self, progress: Progress, endpoint: Endpoint
    ) -> AsyncContextManager[None]:
        pool = self._attempts.pool
        prefill_s = self._request.prompt_tokens / pool.prefill_tokens_per_s
        limit_s = (
            SILENCES_WHILE_DECODING * pool.progress_timeout_s
            + PREFILL_SLACK * prefill_s
        )
        check_s = min(
            pool.progress_timeout_s, self._request.time_limit_s / PROBES_PER_TIME_LIMIT
        )

        async def is_alive() -> bool:
            timeout_s = self.app.settings.get(EntrySettings).probe_timeout_s
            timeout_s = min(timeout_s, check_s)
            listed = await self._client.sessions(endpoint, timeout_s)
            return isinstance(listed, Success)

        return stall_guard(progress, check_s, limit_s, is_alive)

    async def _finish(self) -> None:
        """Sends the end mark."""
        number = self._attempts.number
        request_id = self._request.request_id
        data = b""
        if not self._sink.started:
            data = header_line(request_id, number, "")
        await self._sink.send(data + end_line(request_id, number, self._check.position))

    def _release(self, endpoint: Endpoint, session: str) -> None:
        release = self._client.release(endpoint, session, RELEASE_TIMEOUT_S)
        self.app.get("entry").run_in_background(release)
