/**
 * Requests over `TcpTransport`: matching replies, errors and what they say of execution, cancellation, dead
 * connections.
 */
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

const wire = suite('requests over TCP');

/** Two transports on free ports; tests send from `a` to `b`. */
const transportPair = async (): Promise<{
  a: TcpTransport;
  b: TcpTransport;
  close: () => Promise<void>;
}> => {
  const [portA = 0, portB = 0] = await freePorts(2);
  const a = new TcpTransport(`127.0.0.1:${portA}`);
  const b = new TcpTransport(`127.0.0.1:${portB}`);
  const close = async (): Promise<void> => {
    await Promise.all([a.close(), b.close()]);
  };
  return { a, b, close };
};

const errorFrom = (response: Promise<unknown>): Promise<RpcError> =>
  response.then(
    () => {
      throw new Error('the request did not fail');
    },
    (error: unknown) => toRpcError(error),
  );

wire('each response is matched to its request, after its chunks in order', async () => {
  const { a, b, close } = await transportPair();
  await b.serve((rpc, emit) => {
    for (let n = 0; n < 3; n++) emit({ n, of: rpc.body });
    return Promise.resolve({ from: rpc.from, of: rpc.body });
  });
  const responses = await Promise.all(
    Array.from({ length: 20 }, async (_, i) => {
      const chunks: unknown[] = [];
      const response = await a.call(b.self, 'x', i, {
        timeoutMs: 2000,
        onChunk: (chunk) => chunks.push(chunk),
      });
      return { v: response, chunks };
    }),
  );
  responses.forEach(({ v: response, chunks }, i) => {
    assert.equal(response, { from: a.self, of: i });
    assert.equal(
      chunks,
      [0, 1, 2].map((n) => ({ n, of: i })),
    );
  });
  await close();
});

wire(
  'without a listener a request was not executed; after a lost connection or a timeout that is unknown',
  async () => {
    const { a, b, close } = await transportPair();
    const refused = await errorFrom(a.call(b.self, 'x', 1, { timeoutMs: 1000 }));
    assert.instance(refused, ConnectionRefusedError);
    assert.is(refused.executed, 'no');
    let reportArrival: (body: unknown) => void = () => undefined;
    const arrived = new Promise((resolve) => (reportArrival = resolve));
    await b.serve(async (rpc) => {
      reportArrival(rpc.body);
      return new Promise(() => undefined);
    });
    const timeout = await errorFrom(a.call(b.self, 'x', 2, { timeoutMs: 50 }));
    assert.equal([timeout.code, timeout.executed], ['request-timeout', 'unknown']);
    const inFlight = errorFrom(a.call(b.self, 'x', 3, { timeoutMs: 5000 }));
    const lostAddress = new Promise<string>((resolve) => a.onConnectionLost(resolve));
    await arrived;
    await b.close();
    const lost = await inFlight;
    assert.equal([lost.code, lost.executed], ['connection-lost', 'unknown']);
    assert.is(await lostAddress, b.self);
    await close();
  },
);

wire(
  'a cancelled request aborts its handler, and an invalid line closes only its own connection',
  async () => {
    const { a, b, close } = await transportPair();
    let reportStart: () => void = () => undefined;
    const started = new Promise<void>((resolve) => (reportStart = resolve));
    let reportAbort: () => void = () => undefined;
    const aborted = new Promise<void>((resolve) => (reportAbort = resolve));
    await b.serve(async (rpc, _emit, signal) => {
      if (rpc.kind !== 'long') return 'fine';
      signal.addEventListener('abort', () => reportAbort());
      reportStart();
      return new Promise(() => undefined);
    });
    const controller = new AbortController();
    const cancelled = errorFrom(
      a.call(b.self, 'long', 1, { timeoutMs: 5000, signal: controller.signal }),
    );
    await started;
    controller.abort();
    assert.is((await cancelled).code, 'gone');
    await aborted;
    const rawSocket = connect(parseAddress(b.self));
    const closed = new Promise<void>((resolve) => rawSocket.on('close', () => resolve()));
    rawSocket.on('error', () => undefined);
    rawSocket.write('{"hello":"x","to":"y"}\nnonsense\n');
    await closed;
    assert.is(await a.call(b.self, 'short', 1, { timeoutMs: 2000 }), 'fine');
    await close();
  },
);

wire('a request that is cancelled before it is written is not executed and not sent', async () => {
  const { a, b, close } = await transportPair();
  const received: unknown[] = [];
  await b.serve((rpc) => {
    received.push(rpc.body);
    return Promise.resolve('fine');
  });
  const before = await errorFrom(
    a.call(b.self, 'x', 'before', { timeoutMs: 500, signal: AbortSignal.abort() }),
  );
  const controller = new AbortController();
  const cancelled = errorFrom(
    a.call(b.self, 'x', 'opening', { timeoutMs: 500, signal: controller.signal }),
  );
  controller.abort();
  const during = await cancelled;
  assert.equal(
    [before.code, before.executed, during.code, during.executed],
    ['gone', 'no', 'gone', 'no'],
  );
  assert.is(await a.call(b.self, 'x', 'next', { timeoutMs: 2000 }), 'fine');
  assert.equal(received, ['next']);
  await close();
});

wire('a request on a connection that closed before it was written is not executed', async () => {
  const { a, b, close } = await transportPair();
  await b.serve(() => Promise.resolve('fine'));
  assert.is(await a.call(b.self, 'x', 1, { timeoutMs: 2000 }), 'fine');
  const closing = a.close();
  const refused = await errorFrom(a.call(b.self, 'x', 2, { timeoutMs: 500 }));
  assert.equal([refused.code, refused.executed], ['connection-refused', 'no']);
  await closing;
  await close();
});

wire(
  'a connection whose peer stays silent is closed after a timeout, and the next request opens a new one',
  async () => {
    const [portA = 0, portB = 0] = await freePorts(2);
    const a = new TcpTransport(`127.0.0.1:${portA}`, `127.0.0.1:${portA}`, { openTimeoutMs: 150 });
    const opened: Socket[] = [];
    const silentServer = createServer((socket) => {
      opened.push(socket);
      socket.on('error', () => undefined);
      socket.resume();
    });
    silentServer.listen(portB, '127.0.0.1');
    await once(silentServer, 'listening');
    const to = `127.0.0.1:${portB}`;
    const lost: string[] = [];
    a.onConnectionLost((addr) => lost.push(addr));
    const concurrent = errorFrom(a.call(to, 'x', 0, { timeoutMs: 4000 }));
    const timeout = await errorFrom(a.call(to, 'x', 1, { timeoutMs: 250 }));
    assert.equal([timeout.code, timeout.executed], ['request-timeout', 'unknown']);
    const other = await concurrent;
    assert.equal([other.code, other.executed], ['connection-lost', 'unknown']);
    assert.equal(lost, [to]);
    assert.is((await errorFrom(a.call(to, 'x', 2, { timeoutMs: 250 }))).code, 'request-timeout');
    assert.is(opened.length, 2);
    silentServer.close();
    await a.close();
  },
);

wire(
  'a connection on which other requests are answered is kept when one request times out',
  async () => {
    const [portA = 0, portB = 0] = await freePorts(2);
    const a = new TcpTransport(`127.0.0.1:${portA}`, `127.0.0.1:${portA}`, { openTimeoutMs: 150 });
    const b = new TcpTransport(`127.0.0.1:${portB}`);
    const lost: string[] = [];
    a.onConnectionLost((addr) => lost.push(addr));
    await b.serve(async (rpc) => (rpc.kind === 'long' ? new Promise(() => undefined) : 'fine'));
    const timeout = errorFrom(a.call(b.self, 'long', 1, { timeoutMs: 250 }));
    assert.is(await a.call(b.self, 'short', 2, { timeoutMs: 5000 }), 'fine');
    assert.is((await timeout).code, 'request-timeout');
    assert.is(await a.call(b.self, 'short', 3, { timeoutMs: 5000 }), 'fine');
    assert.equal(lost, []);
    await Promise.all([a.close(), b.close()]);
  },
);

wire.run();
