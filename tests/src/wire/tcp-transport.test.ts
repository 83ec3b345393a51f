import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { freePorts } from '@tillerstair/fleet';
import {
  ConnectionRefusedError,
  toRpcError,
  parseAddress,
  TcpTransport,
  type RpcError,
} from '@tillerstair/wire';

const wire = suite('connections over TCP');

const pair = async (): Promise<{
  a: TcpTransport;
  b: TcpTransport;
  close: () => Promise<void>;
}> => {
  const [p = 0, q = 0] = await freePorts(2);
  const a = new TcpTransport(`127.0.0.1:${p}`);
  const b = new TcpTransport(`127.0.0.1:${q}`);
  const close = async (): Promise<void> => {
    await Promise.all([a.close(), b.close()]);
  };
  return { a, b, close };
};

const errorFrom = (p: Promise<unknown>): Promise<RpcError> =>
  p.then(
    () => {
      throw new Error('no error');
    },
    (e: unknown) => toRpcError(e),
  );

wire('an outcome comes back to the request it belongs to, chunks in order before it', async () => {
  const { a, b, close } = await pair();
  await b.serve((rpc, emit) => {
    for (let n = 0; n < 3; n++) emit({ n, of: rpc.body });
    return Promise.resolve({ from: rpc.from, of: rpc.body });
  });
  const all = await Promise.all(
    Array.from({ length: 20 }, async (_, i) => {
      const chunks: unknown[] = [];
      const v = await a.call(b.self, 'x', i, { timeoutMs: 2000, onChunk: (p) => chunks.push(p) });
      return { v, chunks };
    }),
  );
  all.forEach(({ v, chunks }, i) => {
    assert.equal(v, { from: a.self, of: i });
    assert.equal(
      chunks,
      [0, 1, 2].map((n) => ({ n, of: i })),
    );
  });
  await close();
});

wire(
  'no listener is "refused, not run"; a connection that closes under way is "lost, unknown"; silence is "too late, unknown"',
  async () => {
    const { a, b, close } = await pair();
    const refused = await errorFrom(a.call(b.self, 'x', 1, { timeoutMs: 1000 }));
    assert.instance(refused, ConnectionRefusedError);
    assert.is(refused.executed, 'no');
    let seen: (v: unknown) => void = () => undefined;
    const arrived = new Promise((done) => (seen = done));
    await b.serve(async (rpc) => {
      seen(rpc.body);
      return new Promise(() => undefined);
    });
    const late = await errorFrom(a.call(b.self, 'x', 2, { timeoutMs: 50 }));
    assert.equal([late.code, late.executed], ['request-timeout', 'unknown']);
    const losing = errorFrom(a.call(b.self, 'x', 3, { timeoutMs: 5000 }));
    const heard = new Promise<string>((done) => a.onConnectionLost(done));
    await arrived;
    await b.close();
    const lost = await losing;
    assert.equal([lost.code, lost.executed], ['connection-lost', 'unknown']);
    assert.is(await heard, b.self);
    await close();
  },
);

wire(
  'a caller that goes away is heard of, and nonsense closes only its own connection',
  async () => {
    const { a, b, close } = await pair();
    let began: () => void = () => undefined;
    const underWay = new Promise<void>((done) => (began = done));
    let left: () => void = () => undefined;
    const aborted = new Promise<void>((done) => (left = done));
    await b.serve(async (rpc, _emit, gone) => {
      if (rpc.kind !== 'long') return 'fine';
      gone.addEventListener('abort', () => left());
      began();
      return new Promise(() => undefined);
    });
    const ctl = new AbortController();
    const going = errorFrom(a.call(b.self, 'long', 1, { timeoutMs: 5000, signal: ctl.signal }));
    await underWay;
    ctl.abort();
    assert.is((await going).code, 'gone');
    await aborted;
    const raw = connect(parseAddress(b.self));
    const closed = new Promise<void>((done) => raw.on('close', () => done()));
    raw.on('error', () => undefined);
    raw.write('{"hello":"x","to":"y"}\nnonsense\n');
    await closed;
    assert.is(await a.call(b.self, 'short', 1, { timeoutMs: 2000 }), 'fine');
    await close();
  },
);

wire('a call whose caller is gone before it is written is not run and sends nothing', async () => {
  const { a, b, close } = await pair();
  const seen: unknown[] = [];
  await b.serve((rpc) => {
    seen.push(rpc.body);
    return Promise.resolve('fine');
  });
  const before = await errorFrom(
    a.call(b.self, 'x', 'before', { timeoutMs: 500, signal: AbortSignal.abort() }),
  );
  const opening = new AbortController();
  const going = errorFrom(
    a.call(b.self, 'x', 'opening', { timeoutMs: 500, signal: opening.signal }),
  );
  opening.abort();
  const during = await going;
  assert.equal(
    [before.code, before.executed, during.code, during.executed],
    ['gone', 'no', 'gone', 'no'],
  );
  assert.is(await a.call(b.self, 'x', 'next', { timeoutMs: 2000 }), 'fine');
  assert.equal(seen, ['next']);
  await close();
});

wire('a call on a connection that closed before it was written is not run', async () => {
  const { a, b, close } = await pair();
  await b.serve(() => Promise.resolve('fine'));
  assert.is(await a.call(b.self, 'x', 1, { timeoutMs: 2000 }), 'fine');
  const closing = a.close();
  const late = await errorFrom(a.call(b.self, 'x', 2, { timeoutMs: 500 }));
  assert.equal([late.code, late.executed], ['connection-refused', 'no']);
  await closing;
  await close();
});

wire(
  'a connection on which nothing was heard for its bound is left, and the next call opens a new one',
  async () => {
    const [p = 0, q = 0] = await freePorts(2);
    const a = new TcpTransport(`127.0.0.1:${p}`, `127.0.0.1:${p}`, 150);
    const opened: Socket[] = [];
    const failureTimeout = createServer((s) => {
      opened.push(s);
      s.on('error', () => undefined);
      s.resume();
    });
    failureTimeout.listen(q, '127.0.0.1');
    await once(failureTimeout, 'listening');
    const to = `127.0.0.1:${q}`;
    const lost: string[] = [];
    a.onConnectionLost((addr) => lost.push(addr));
    const beside = errorFrom(a.call(to, 'x', 0, { timeoutMs: 4000 }));
    const late = await errorFrom(a.call(to, 'x', 1, { timeoutMs: 250 }));
    assert.equal([late.code, late.executed], ['request-timeout', 'unknown']);
    const other = await beside;
    assert.equal([other.code, other.executed], ['connection-lost', 'unknown']);
    assert.equal(lost, [to]);
    assert.is((await errorFrom(a.call(to, 'x', 2, { timeoutMs: 250 }))).code, 'request-timeout');
    assert.is(opened.length, 2);
    failureTimeout.close();
    await a.close();
  },
);

wire(
  'a connection on which other calls are heard of is kept, though one call is late',
  async () => {
    const [p = 0, q = 0] = await freePorts(2);
    const a = new TcpTransport(`127.0.0.1:${p}`, `127.0.0.1:${p}`, 150);
    const b = new TcpTransport(`127.0.0.1:${q}`);
    const lost: string[] = [];
    a.onConnectionLost((addr) => lost.push(addr));
    await b.serve(async (rpc) => (rpc.kind === 'long' ? new Promise(() => undefined) : 'fine'));
    const late = errorFrom(a.call(b.self, 'long', 1, { timeoutMs: 250 }));
    assert.is(await a.call(b.self, 'short', 2, { timeoutMs: 5000 }), 'fine');
    assert.is((await late).code, 'request-timeout');
    assert.is(await a.call(b.self, 'short', 3, { timeoutMs: 5000 }), 'fine');
    assert.equal(lost, []);
    await Promise.all([a.close(), b.close()]);
  },
);

wire.run();
