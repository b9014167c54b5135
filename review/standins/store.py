"""A stand-in for the platform's store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct
import time

from http_server import HttpServer, Reply, json_reply

ANSWER_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
REPEATS = 5
PAGE = 500


class Topic:
    """The records of a topic and the last appends of its producers."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.producers: dict[str, dict] = {}
        self.grown = asyncio.Event()


class Store:
    """Topics by name; ``refused`` counts appends that were rejected."""

    def __init__(self, address: str) -> None:
        self.topics: dict[str, Topic] = {}
        self.server = HttpServer(address, self._handle)
        self.refused: dict[str, int] = {}

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record of the operator or of a worker."""
        blob = b'' if value is None else json.dumps(value).encode()
        self._append(self.topic(topic), [(key, blob)])

    async def _handle(
        self, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> Reply:
        await asyncio.sleep(ANSWER_S)
        topic = self.topic(query['topic'])
        if path == '/api/log-append':
            return self._handle_append(topic, query, body)
        if path == '/api/log-read':
            return await self._handle_read(topic, query)
        if path == '/api/log-newest':
            return self._handle_newest(topic, query)
        return json_reply(404)

    def _append(self, topic: Topic, records: list[tuple[str, bytes]]) -> int:
        offset = len(topic.records)
        topic.records.extend(records)
        topic.grown.set()
        topic.grown = asyncio.Event()
        return offset

    def _handle_append(self, topic: Topic, query: dict, body: bytes) -> Reply:
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from('>I', body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            if length > RECORD_BYTES:
                return self._refuse(400, 'record')
            key_end = 1 + content[0]
            records.append((content[1:key_end].decode(), content[key_end:]))
        if len(body) > CALL_BYTES:
            return self._refuse(400, 'call')
        name = query.get('producer')
        known = topic.producers.get(name) if name else None
        epoch, seq = int(query.get('epoch', 0)), int(query.get('seq', 0))
        if known and epoch < known['epoch']:
            return json_reply(409, reason='fenced')
        if known and epoch == known['epoch']:
            if seq in known['replies']:
                return 200, known['replies'][seq]
            if seq != known['seq'] + 1:
                return json_reply(409, reason='seq', seq=known['seq'] + 1)
        if 'at' in query and int(query['at']) != len(topic.records):
            return json_reply(412, end=len(topic.records))
        offset = self._append(topic, records)
        reply = json_reply(200, offset=offset, end=len(topic.records))
        if name:
            if not known or epoch > known['epoch']:
                known = {'epoch': epoch, 'replies': {}}
                topic.producers[name] = known
            known['seq'] = seq
            known['replies'][seq] = reply[1]
            for old in sorted(known['replies'])[:-REPEATS]:
                del known['replies'][old]
        return reply

    def _refuse(self, status: int, reason: str) -> Reply:
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return json_reply(status, reason=reason)

    async def _handle_read(self, topic: Topic, query: dict) -> Reply:
        start = int(query['from'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            grown = topic.grown
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await grown.wait()
            except TimeoutError:
                break
        parts = [struct.pack('>QQ', len(topic.records), 0)]
        size = 0
        for key, value in topic.records[start:]:
            content = bytes((len(key),)) + key.encode() + value
            parts.append(struct.pack('>I', len(content)) + content)
            size += len(content)
            if size > int(query.get('maxFetchKb', 1024)) * 1024:
                break
        return 200, b''.join(parts)

    def _handle_newest(self, topic: Topic, query: dict) -> Reply:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(topic.records):
            newest[key] = (offset, value)
        after = query.get('dependsOn', '')
        keys = sorted(key for key, (_, value) in newest.items() if value)
        keys = [key for key in keys if key > after]
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        return json_reply(
            200,
            items=items,
            hasMore=len(keys) > PAGE,
            end=len(topic.records),
        )
