/** Limits of the HTTP listeners for clients: head size, head timeout and idle time. */
import { once } from 'node:events';
import type { RequestListener, Server } from 'node:http';
import { connect, type Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { freePorts } from '@tillerstair/fleet';
import { Front, HttpBackend } from '@tillerstair/proxy';
import { clientLimitsOf, openHttpListener, type ClientLimits } from '@tillerstair/platform';
import { passRoutes } from '@tillerstair/sim';
import { checkConfig, bootstrapState } from '@tillerstair/state';
import { hostClock, silentLogger, TcpTransport } from '@tillerstair/wire';

const listeners = suite('HTTP listeners for clients');
const defaultLimits: ClientLimits = { headerBytes: 16384, headerWaitMs: 3000, idleMs: 15000 };
const respondOk: RequestListener = (_req, res) =>
  void res.writeHead(200, { 'Content-Length': '2' }).end('ok');

interface Received {
  text: string;
}

const withListener = async (
  limits: () => ClientLimits,
  use: (
    connectClient: () => Promise<{ socket: Socket; received: Received; closed: Promise<number> }>,
    server: Server,
  ) => Promise<void>,
  respond = respondOk,
): Promise<void> => {
  const [port = 0] = await freePorts(1);
  const server = await openHttpListener(`127.0.0.1:${port}`, limits, respond);
  const connectClient = async () => {
    const socket = connect(port, '127.0.0.1');
    const received: Received = { text: '' };
    socket.on('data', (part) => {
      received.text += part.toString('latin1');
    });
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    const openedAt = hostClock.now();
    return {
      socket,
      received,
      closed: new Promise<number>((resolve) =>
        socket.on('close', () => resolve(hostClock.now() - openedAt)),
      ),
    };
  };
  try {
    await use(connectClient, server);
  } finally {
    server.closeAllConnections();
    server.close();
  }
};

const waitForText = async (socket: Socket, received: Received, pattern: RegExp): Promise<void> => {
  while (!pattern.test(received.text)) await once(socket, 'data');
};

const headOf = (bytes: number): string => {
  const start = 'GET / HTTP/1.1\r\nHost: x\r\nX-Long: ';
  return `${start}${'a'.repeat(bytes - start.length - 4)}\r\n\r\n`;
};

listeners(
  'the size of a request head is limited by the current configuration, which may change',
  async () => {
    let headerBytes = 1 << 16;
    await withListener(
      () => ({ ...defaultLimits, headerBytes }),
      async (connectClient) => {
        const statusOf = async (bytes: number): Promise<string> => {
          const { socket, received } = await connectClient();
          socket.write(headOf(bytes));
          await waitForText(socket, received, /\r\n\r\n/);
          socket.destroy();
          return received.text.slice(9, 12);
        };
        assert.equal([await statusOf(1 << 16), await statusOf((1 << 16) + 1)], ['200', '431']);
        headerBytes = 1 << 14;
        assert.equal([await statusOf(1 << 14), await statusOf((1 << 14) + 1)], ['200', '431']);
        headerBytes = 1 << 17;
        assert.is(await statusOf(1 << 17), '200');
      },
    );
  },
);

listeners(
  'an idle connection is closed after idleMs, before and after its first request, and Keep-Alive states less',
  async () => {
    await withListener(
      () => ({ ...defaultLimits, headerWaitMs: 100, idleMs: 1800 }),
      async (connectClient) => {
        const [first, used] = [await connectClient(), await connectClient()];
        used.socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        const [firstClosedAfterMs, usedClosedAfterMs] = await Promise.all([
          first.closed,
          used.closed,
        ]);
        assert.ok(firstClosedAfterMs >= 1790 && firstClosedAfterMs < 6000, `${firstClosedAfterMs}`);
        assert.ok(usedClosedAfterMs >= 1790 && usedClosedAfterMs < 6000, `${usedClosedAfterMs}`);
        assert.equal(
          [first.received.text, /Keep-Alive: timeout=(\d+)/i.exec(used.received.text)?.[1]],
          ['', '1'],
        );
      },
    );
  },
);

listeners(
  'the idle limit before the first request does not end a connection during a slow response',
  async () => {
    const slow: RequestListener = (_req, res) => {
      hostClock.after(900, () => void res.writeHead(200, { 'Content-Length': '2' }).end('ok'));
    };
    await withListener(
      () => ({ ...defaultLimits, idleMs: 300 }),
      async (connectClient) => {
        const { socket, received } = await connectClient();
        socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        await waitForText(socket, received, /ok$/);
        socket.destroy();
      },
      slow,
    );
  },
);

listeners(
  'a request head that takes longer than headerWaitMs gets 408, which means not run',
  async () => {
    await withListener(
      () => ({ ...defaultLimits, headerWaitMs: 100 }),
      async (connectClient) => {
        const { socket, received, closed } = await connectClient();
        socket.write('GET / HTTP/1.1\r\nHo');
        const closedAfterMs = await closed;
        assert.match(received.text, /^HTTP\/1\.1 408 /);
        assert.ok(closedAfterMs >= 100 && closedAfterMs < 5000, `${closedAfterMs}`);
      },
    );
  },
);

listeners(
  'invalid bytes after a request in flight never cause a response in place of its own',
  async () => {
    let markStarted: () => void = () => undefined;
    const started = new Promise<void>((resolve) => (markStarted = resolve));
    await withListener(
      () => defaultLimits,
      async (connectClient) => {
        const { socket, received, closed } = await connectClient();
        socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        await started;
        socket.write('nonsense\r\n\r\n');
        await closed;
        assert.is(received.text, '');
      },
      () => markStarted(),
    );
  },
);

listeners('limits of a new configuration apply from the next request on', async () => {
  let limits = defaultLimits;
  await withListener(
    () => limits,
    async (connectClient) => {
      const { socket, received } = await connectClient();
      for (const idleMs of [15000, 40000, 2500]) {
        limits = { ...defaultLimits, idleMs };
        received.text = '';
        socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        await waitForText(socket, received, /ok$/);
        assert.is(
          /Keep-Alive: timeout=(\d+)/i.exec(received.text)?.[1],
          `${Math.floor(idleMs / 1000)}`,
        );
      }
      socket.destroy();
    },
  );
});

listeners(
  'a front uses default limits until its first configuration, then those of the configuration',
  () => {
    const front = new Front({
      id: 'f',
      clock: hostClock,
      transport: new TcpTransport('127.0.0.1:1'),
      backend: new HttpBackend({ connectTimeoutMs: 2000, maxConnections: () => 1 }),
      log: silentLogger,
      affinity: false,
      bounds: {
        heartbeatInterval: 1000,
        putTimeoutMs: 1000,
        readLease: 1e6,
        pollIntervalMs: 0,
        retentionMs: 1e6,
        stopWithin: 1000,
      },
    });
    const defaults = clientLimitsOf(front);
    assert.ok(defaults.idleMs >= 10000 && defaults.headerBytes >= 16384);
    for (const [version, idleMs] of [
      [1, 21000],
      [2, 9000],
    ] as const) {
      const pools = [
        { name: 'models', kind: 'model' },
        { name: 'shop', kind: 'service' },
      ];
      const limits = { headerBytes: 20000, bodyBytes: 1000, headerWaitMs: 2000, idleMs };
      const text = JSON.stringify({
        base: version - 1,
        pools,
        routes: passRoutes(['models'], 'shop'),
        budgets: { program: 1000, turn: 16 },
        limits,
      });
      const { config, findings } = checkConfig(text);
      assert.equal(findings, []);
      front.owner.applyState({
        ...bootstrapState('c', [], 8),
        version,
        config: {
          version,
          text,
          digest: `d${version}`,
          compiled: JSON.stringify(config),
          changeId: '',
        },
      });
      assert.equal(clientLimitsOf(front), limits);
    }
  },
);

listeners.run();
