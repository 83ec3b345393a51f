/** Connections to servers: what is queued, withdrawn or late, and how long one is kept. */
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

const queueing = suite('connections to servers, byte by byte');

queueing(
  'a request queued behind one whose connection fails has not left, and is sent once, over another',
  async () => {
    const ways: readonly ((a: RawRequest) => void)[] = [
      (a) => a.socket.resetAndDestroy(),
      (a) => a.socket.end(),
      (a) => a.socket.write('no HTTP\r\n\r\n'),
      (a) => a.socket.write(responseBytes('other', 'x')),
    ];
    for (const way of ways)
      await withServer(
        (a) => (a.attempt === 'first' ? way(a) : replyWithAttempt(a)),
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

queueing(
  'a request still queued when its time is up or its caller leaves ends then, as not run, and never leaves',
  async () => {
    let release: () => void = () => undefined;
    const play = (a: RawRequest): void => {
      if (a.attempt !== 'mute') return replyWithAttempt(a);
      release = () => replyWithAttempt(a);
    };
    await withServer(play, async (server, backend) => {
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
        server.asked.map((a) => [a.attempt, a.connection]),
        [
          ['mute', 1],
          ['next', 1],
        ],
      );
    });
  },
);

queueing('a request withdrawn just before it would leave spares the connection', async () => {
  await withServer(replyWithAttempt, async (server, backend) => {
    assert.is((await send(backend, server, 'a')).body, 'a');
    const to = Server.parse({
      id: 's',
      pool: 'p',
      url: `http://127.0.0.1:${server.port}`,
      draining: false,
      down: false,
    });
    const passing: ForwardedRequest = {
      attempt: 'b',
      method: 'POST',
      path: '/x',
      headers: [['X-Request-Id', 'b']],
      body: Buffer.from('b'),
      resume: '',
    };
    const ended = await backend.pass(
      to,
      passing,
      { head: () => undefined, bytes: () => undefined, load: () => undefined },
      neverAborted,
      20000,
      () => false,
    );
    assert.is(ended.kind, 'declined');
    assert.is((await send(backend, server, 'c')).body, 'c');
    assert.equal(
      server.asked.map((a) => [a.attempt, a.connection]),
      [
        ['a', 1],
        ['c', 1],
      ],
    );
  });
});

queueing('a late answer to a request that was given up reaches nobody', async () => {
  for (const by of ['time', 'caller']) {
    const waiting: RawRequest[] = [];
    let reach: () => void = () => undefined;
    const arrived = new Promise<void>((done) => (reach = done));
    const play = (a: RawRequest): void => {
      if (a.attempt !== 'slow') return replyWithAttempt(a);
      waiting.push(a);
      reach();
    };
    await withServer(play, async (server, backend) => {
      const caller = new AbortController();
      const slow = send(backend, server, 'slow', {
        left: by === 'time' ? 100 : 20000,
        gone: caller.signal,
      });
      const next = send(backend, server, 'next');
      if (by === 'caller') {
        await arrived;
        caller.abort();
      }
      assert.is((await slow).ended.kind, 'lost');
      waiting.splice(0).forEach(replyWithAttempt);
      assert.equal([(await next).body, server.runs('slow'), server.runs('next')], ['next', 1, 1]);
    });
  }
});

queueing(
  'a connection that is reset before anything was asked on it: each request is written once at most',
  async () => {
    const server = await rawServer(replyWithAttempt, (socket, n) => {
      if (n === 1) socket.resetAndDestroy();
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

queueing('no listener: the request never left', async () => {
  const server = await rawServer(replyWithAttempt);
  server.close();
  const backend = createClient();
  assert.is((await send(backend, server, 'a')).ended.kind, 'never-left');
  await backend.close();
});

queueing(
  'a connection is kept for three quarters of two seconds, and not at all beyond what its server may keep it',
  async () => {
    const hint = (a: RawRequest, text: string): void =>
      void a.socket.write(
        responseBytes(
          a.attempt,
          a.attempt,
          '200 OK',
          `X-Seal: s\r\nKeep-Alive: timeout=${text}\r\n`,
        ),
      );
    for (const [text, connections] of [
      ['0', 2],
      ['1', 1],
      ['2', 1],
      ['60', 1],
    ] as const)
      await withServer(
        (a) => hint(a, text),
        async (server, backend) => {
          await send(backend, server, 'a');
          await send(backend, server, 'b');
          assert.equal(
            server.asked.map((a) => a.connection),
            connections === 1 ? [1, 1] : [1, 2],
            text,
          );
        },
      );
  },
);

queueing.run();
