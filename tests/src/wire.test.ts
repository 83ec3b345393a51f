import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { freePorts } from '@tillerstair/fleet';
import { CircuitRefused, mishapOf, splitAddr, TcpCircuits, type Mishap } from '@tillerstair/wire';

const wire = suite('circuits over TCP');

const pair = async (): Promise<{ a: TcpCircuits; b: TcpCircuits; close: () => Promise<void> }> => {
  const [p = 0, q = 0] = await freePorts(2);
  const a = new TcpCircuits(`127.0.0.1:${p}`);
  const b = new TcpCircuits(`127.0.0.1:${q}`);
  return { a, b, close: async () => void (await Promise.all([a.close(), b.close()])) };
};

const mishapFrom = (p: Promise<unknown>): Promise<Mishap> =>
  p.then(
    () => {
      throw new Error('no mishap');
    },
    (e: unknown) => mishapOf(e),
  );

wire('a verdict comes back to the inquiry it belongs to, pieces in order before it', async () => {
  const { a, b, close } = await pair();
  await b.serve(async (inq, emit) => {
    for (let n = 0; n < 3; n++) emit({ n, of: inq.body });
    return { from: inq.from, of: inq.body };
  });
  const all = await Promise.all(
    Array.from({ length: 20 }, async (_, i) => {
      const pieces: unknown[] = [];
      const v = await a.call(b.self, 'x', i, { within: 2000, onPiece: (p) => pieces.push(p) });
      return { v, pieces };
    }),
  );
  all.forEach(({ v, pieces }, i) => {
    assert.equal(v, { from: a.self, of: i });
    assert.equal(pieces, [0, 1, 2].map((n) => ({ n, of: i })));
  });
  await close();
});

wire('no listener is "refused, not run"; a circuit that closes under way is "lost, unknown"; silence is "too late, unknown"', async () => {
  const { a, b, close } = await pair();
  const refused = await mishapFrom(a.call(b.self, 'x', 1, { within: 1000 }));
  assert.instance(refused, CircuitRefused);
  assert.is(refused.ran, 'no');
  let seen: (v: unknown) => void = () => undefined;
  const arrived = new Promise((done) => (seen = done));
  await b.serve(async (inq) => {
    seen(inq.body);
    return new Promise(() => undefined);
  });
  const late = await mishapFrom(a.call(b.self, 'x', 2, { within: 50 }));
  assert.equal([late.code, late.ran], ['too-late', 'unknown']);
  const losing = mishapFrom(a.call(b.self, 'x', 3, { within: 5000 }));
  const heard = new Promise<string>((done) => a.onLost(done));
  await arrived;
  await b.close();
  const lost = await losing;
  assert.equal([lost.code, lost.ran], ['circuit-lost', 'unknown']);
  assert.is(await heard, b.self);
  await close();
});

wire('a caller that goes away is heard of, and nonsense closes only its own circuit', async () => {
  const { a, b, close } = await pair();
  let began: () => void = () => undefined;
  const underWay = new Promise<void>((done) => (began = done));
  let left: () => void = () => undefined;
  const aborted = new Promise<void>((done) => (left = done));
  await b.serve(async (inq, _emit, gone) => {
    if (inq.kind !== 'long') return 'fine';
    gone.addEventListener('abort', () => left());
    began();
    return new Promise(() => undefined);
  });
  const ctl = new AbortController();
  const going = mishapFrom(a.call(b.self, 'long', 1, { within: 5000, gone: ctl.signal }));
  await underWay;
  ctl.abort();
  assert.is((await going).code, 'gone');
  await aborted;
  const raw = connect(splitAddr(b.self));
  const closed = new Promise<void>((done) => raw.on('close', () => done()));
  raw.on('error', () => undefined);
  raw.write('{"hello":"x","to":"y"}\nnonsense\n');
  await closed;
  assert.is(await a.call(b.self, 'short', 1, { within: 2000 }), 'fine');
  await close();
});

wire('a call whose caller is gone before it is written is not run and sends nothing', async () => {
  const { a, b, close } = await pair();
  const seen: unknown[] = [];
  await b.serve(async (inq) => {
    seen.push(inq.body);
    return 'fine';
  });
  const before = await mishapFrom(a.call(b.self, 'x', 'before', { within: 500, gone: AbortSignal.abort() }));
  const opening = new AbortController();
  const going = mishapFrom(a.call(b.self, 'x', 'opening', { within: 500, gone: opening.signal }));
  opening.abort();
  const during = await going;
  assert.equal([before.code, before.ran, during.code, during.ran], ['gone', 'no', 'gone', 'no']);
  assert.is(await a.call(b.self, 'x', 'next', { within: 2000 }), 'fine');
  assert.equal(seen, ['next']);
  await close();
});

wire('a call on a circuit that closed before it was written is not run', async () => {
  const { a, b, close } = await pair();
  await b.serve(async () => 'fine');
  assert.is(await a.call(b.self, 'x', 1, { within: 2000 }), 'fine');
  const closing = a.close();
  const late = await mishapFrom(a.call(b.self, 'x', 2, { within: 500 }));
  assert.equal([late.code, late.ran], ['circuit-refused', 'no']);
  await closing;
  await close();
});

wire('a circuit on which nothing was heard for its bound is left, and the next call opens a new one', async () => {
  const [p = 0, q = 0] = await freePorts(2);
  const a = new TcpCircuits(`127.0.0.1:${p}`, `127.0.0.1:${p}`, 150);
  const opened: Socket[] = [];
  const silent = createServer((s) => {
    opened.push(s);
    s.on('error', () => undefined);
    s.resume();
  });
  silent.listen(q, '127.0.0.1');
  await once(silent, 'listening');
  const to = `127.0.0.1:${q}`;
  const lost: string[] = [];
  a.onLost((addr) => lost.push(addr));
  const beside = mishapFrom(a.call(to, 'x', 0, { within: 4000 }));
  const late = await mishapFrom(a.call(to, 'x', 1, { within: 250 }));
  assert.equal([late.code, late.ran], ['too-late', 'unknown']);
  const other = await beside;
  assert.equal([other.code, other.ran], ['circuit-lost', 'unknown']);
  assert.equal(lost, [to]);
  assert.is((await mishapFrom(a.call(to, 'x', 2, { within: 250 }))).code, 'too-late');
  assert.is(opened.length, 2);
  silent.close();
  await a.close();
});

wire('a circuit on which other calls are heard of is kept, though one call is late', async () => {
  const [p = 0, q = 0] = await freePorts(2);
  const a = new TcpCircuits(`127.0.0.1:${p}`, `127.0.0.1:${p}`, 150);
  const b = new TcpCircuits(`127.0.0.1:${q}`);
  const lost: string[] = [];
  a.onLost((addr) => lost.push(addr));
  await b.serve(async (inq) => (inq.kind === 'long' ? new Promise(() => undefined) : 'fine'));
  const late = mishapFrom(a.call(b.self, 'long', 1, { within: 250 }));
  assert.is(await a.call(b.self, 'short', 2, { within: 5000 }), 'fine');
  assert.is((await late).code, 'too-late');
  assert.is(await a.call(b.self, 'short', 3, { within: 5000 }), 'fine');
  assert.equal(lost, []);
  await Promise.all([a.close(), b.close()]);
});

wire.run();
