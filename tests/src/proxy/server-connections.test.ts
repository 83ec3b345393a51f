/** Connections to servers: queued, withdrawn and late requests, and how long an idle connection is kept. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Server } from '@tillerstair/state';
import type { ForwardedRequest } from '@tillerstair/session-owner';
import {
  neverAborted,
  type RawRequest,
  rawServer,
  responseBytes,
  createClient,
  send,
  withServer,
  replyWithAttempt,
} from '../support/raw-server.js';

const connections = suite('connections to servers, byte by byte');

connections(
  'a request queued behind one whose connection fails was not sent, and is sent once over another connection',
  async () => {
    const failures: readonly ((request: RawRequest) => void)[] = [
      (request) => request.socket.resetAndDestroy(),
      (request) => request.socket.end(),
      (request) => request.socket.write('no HTTP\r\n\r\n'),
      (request) => request.socket.write(responseBytes('other', 'x')),
    ];
    for (const fail of failures)
      await withServer(
        (request) => (request.attempt === 'first' ? fail(request) : replyWithAttempt(request)),
        async (server, backend) => {
          const [first, second, third] = await Promise.all(
            ['first', 'second', 'third'].map((id) => send(backend, server, id)),
          );
          assert.is(first.ended.kind, 'lost');
          assert.equal([second.body, third.body], ['second', 'third']);
          assert.equal(
            ['first', 'second', 'third'].map((id) => server.runs(id)),
            [1, 1, 1],
          );
        },
      );
  },
);

connections(
  'a queued request whose time is over or whose caller disconnects is declined then and never sent',
  async () => {
    let release: () => void = () => undefined;
    const respond = (request: RawRequest): void => {
      if (request.attempt !== 'mute') return replyWithAttempt(request);
      release = () => replyWithAttempt(request);
    };
    await withServer(respond, async (server, backend) => {
      const mute = send(backend, server, 'mute');
      const caller = new AbortController();
      const left = send(backend, server, 'left', { gone: caller.signal });
      const late = await send(backend, server, 'late', { left: 50 });
      caller.abort();
      assert.equal([late.ended.kind, (await left).ended.kind], ['declined', 'declined']);
      release();
      assert.is((await mute).body, 'mute');
      assert.is((await send(backend, server, 'next')).body, 'next');
      assert.equal(
        server.asked.map((request) => [request.attempt, request.connection]),
        [
          ['mute', 1],
          ['next', 1],
        ],
      );
    });
  },
);

connections(
  'a request withdrawn right before it is sent does not close the connection',
  async () => {
    await withServer(replyWithAttempt, async (server, backend) => {
      assert.is((await send(backend, server, 'a')).body, 'a');
      const target = Server.parse({
        id: 's',
        pool: 'p',
        url: `http://127.0.0.1:${server.port}`,
        draining: false,
        down: false,
      });
      const forwarded: ForwardedRequest = {
        attempt: 'b',
        method: 'POST',
        path: '/x',
        headers: [['X-Request-Id', 'b']],
        body: Buffer.from('b'),
        resume: '',
      };
      const ended = await backend.pass(
        target,
        forwarded,
        { head: () => undefined, bytes: () => undefined, load: () => undefined },
        neverAborted,
        20000,
        () => false,
      );
      assert.is(ended.kind, 'declined');
      assert.is((await send(backend, server, 'c')).body, 'c');
      assert.equal(
        server.asked.map((request) => [request.attempt, request.connection]),
        [
          ['a', 1],
          ['c', 1],
        ],
      );
    });
  },
);

connections('a late response to a cancelled request is discarded', async () => {
  for (const reason of ['time', 'caller']) {
    const waiting: RawRequest[] = [];
    let markArrived: () => void = () => undefined;
    const arrived = new Promise<void>((resolve) => (markArrived = resolve));
    const respond = (request: RawRequest): void => {
      if (request.attempt !== 'slow') return replyWithAttempt(request);
      waiting.push(request);
      markArrived();
    };
    await withServer(respond, async (server, backend) => {
      const caller = new AbortController();
      const slow = send(backend, server, 'slow', {
        left: reason === 'time' ? 100 : 20000,
        gone: caller.signal,
      });
      const next = send(backend, server, 'next');
      if (reason === 'caller') {
        await arrived;
        caller.abort();
      }
      assert.is((await slow).ended.kind, 'lost');
      waiting.splice(0).forEach(replyWithAttempt);
      assert.equal([(await next).body, server.runs('slow'), server.runs('next')], ['next', 1, 1]);
    });
  }
});

connections(
  'if a connection is reset before its first request, each request is written at most once',
  async () => {
    const server = await rawServer(replyWithAttempt, (socket, connection) => {
      if (connection === 1) socket.resetAndDestroy();
    });
    const backend = createClient();
    const first = await send(backend, server, 'first');
    assert.ok(['lost', 'never-left', 'done'].includes(first.ended.kind));
    assert.ok(server.runs('first') <= 1);
    if (first.ended.kind === 'never-left') assert.is(server.runs('first'), 0);
    assert.is((await send(backend, server, 'next')).body, 'next');
    await backend.close();
    server.close();
  },
);

connections('without a listener the request is never sent', async () => {
  const server = await rawServer(replyWithAttempt);
  server.close();
  const backend = createClient();
  assert.is((await send(backend, server, 'a')).ended.kind, 'never-left');
  await backend.close();
});

connections(
  'an idle connection is reused if its Keep-Alive time is 1 s or more, and not if it is 0',
  async () => {
    const replyWithKeepAlive = (request: RawRequest, text: string): void =>
      void request.socket.write(
        responseBytes(
          request.attempt,
          request.attempt,
          '200 OK',
          `X-Seal: s\r\nKeep-Alive: timeout=${text}\r\n`,
        ),
      );
    for (const [text, expectedConnections] of [
      ['0', 2],
      ['1', 1],
      ['2', 1],
      ['60', 1],
    ] as const)
      await withServer(
        (request) => replyWithKeepAlive(request, text),
        async (server, backend) => {
          await send(backend, server, 'a');
          await send(backend, server, 'b');
          assert.equal(
            server.asked.map((request) => request.connection),
            expectedConnections === 1 ? [1, 1] : [1, 2],
            text,
          );
        },
      );
  },
);

connections.run();
