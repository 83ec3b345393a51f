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

const doors = suite('doors for clients');
const usual: ClientLimits = { headerBytes: 16384, headerWaitMs: 3000, idleMs: 15000 };
const fine: RequestListener = (_req, res) =>
  void res.writeHead(200, { 'Content-Length': '2' }).end('ok');

interface Heard {
  text: string;
}

const withDoor = async (
  limits: () => ClientLimits,
  work: (
    open: () => Promise<{ socket: Socket; heard: Heard; closed: Promise<number> }>,
    server: Server,
  ) => Promise<void>,
  serve = fine,
): Promise<void> => {
  const [port = 0] = await freePorts(1);
  const server = await openHttpListener(`127.0.0.1:${port}`, limits, serve);
  const open = async () => {
    const socket = connect(port, '127.0.0.1');
    const heard: Heard = { text: '' };
    socket.on('data', (part) => {
      heard.text += part.toString('latin1');
    });
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    const from = hostClock.now();
    return {
      socket,
      heard,
      closed: new Promise<number>((done) => socket.on('close', () => done(hostClock.now() - from))),
    };
  };
  try {
    await work(open, server);
  } finally {
    server.closeAllConnections();
    server.close();
  }
};

const until = async (socket: Socket, heard: Heard, wanted: RegExp): Promise<void> => {
  while (!wanted.test(heard.text)) await once(socket, 'data');
};

const headOf = (bytes: number): string => {
  const start = 'GET / HTTP/1.1\r\nHost: x\r\nX-Long: ';
  return `${start}${'a'.repeat(bytes - start.length - 4)}\r\n\r\n`;
};

doors('a head is bounded by the limit in force, which may rise and fall', async () => {
  let headerBytes = 1 << 16;
  await withDoor(
    () => ({ ...usual, headerBytes }),
    async (open) => {
      const statusOf = async (bytes: number): Promise<string> => {
        const { socket, heard } = await open();
        socket.write(headOf(bytes));
        await until(socket, heard, /\r\n\r\n/);
        socket.destroy();
        return heard.text.slice(9, 12);
      };
      assert.equal([await statusOf(1 << 16), await statusOf((1 << 16) + 1)], ['200', '431']);
      headerBytes = 1 << 14;
      assert.equal([await statusOf(1 << 14), await statusOf((1 << 14) + 1)], ['200', '431']);
      headerBytes = 1 << 17;
      assert.is(await statusOf(1 << 17), '200');
    },
  );
});

doors(
  'a connection rests as long as the limit says, before its first request and after, and is told no more',
  async () => {
    await withDoor(
      () => ({ ...usual, headerWaitMs: 100, idleMs: 1800 }),
      async (open) => {
        const [first, used] = [await open(), await open()];
        used.socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        const [atFirst, atUsed] = await Promise.all([first.closed, used.closed]);
        assert.ok(atFirst >= 1790 && atFirst < 6000, `${atFirst}`);
        assert.ok(atUsed >= 1790 && atUsed < 6000, `${atUsed}`);
        assert.equal(
          [first.heard.text, /Keep-Alive: timeout=(\d+)/i.exec(used.heard.text)?.[1]],
          ['', '1'],
        );
      },
    );
  },
);

doors(
  'a connection that rested before its first request is not cut within a long answer',
  async () => {
    const slow: RequestListener = (_req, res) => {
      hostClock.after(900, () => void res.writeHead(200, { 'Content-Length': '2' }).end('ok'));
    };
    await withDoor(
      () => ({ ...usual, idleMs: 300 }),
      async (open) => {
        const { socket, heard } = await open();
        socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        await until(socket, heard, /ok$/);
        socket.destroy();
      },
      slow,
    );
  },
);

doors('a head that takes longer than the limit is told 408, which means not run', async () => {
  await withDoor(
    () => ({ ...usual, headerWaitMs: 100 }),
    async (open) => {
      const { socket, heard, closed } = await open();
      socket.write('GET / HTTP/1.1\r\nHo');
      const at = await closed;
      assert.match(heard.text, /^HTTP\/1\.1 408 /);
      assert.ok(at >= 100 && at < 5000, `${at}`);
    },
  );
});

doors(
  'nonsense behind a request that is under way never takes the place of its answer',
  async () => {
    let began: () => void = () => undefined;
    const under = new Promise<void>((done) => (began = done));
    await withDoor(
      () => usual,
      async (open) => {
        const { socket, heard, closed } = await open();
        socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        await under;
        socket.write('nonsense\r\n\r\n');
        await closed;
        assert.is(heard.text, '');
      },
      () => began(),
    );
  },
);

doors('limits of a new configuration hold from the next request on', async () => {
  let limits = usual;
  await withDoor(
    () => limits,
    async (open) => {
      const { socket, heard } = await open();
      for (const idleMs of [15000, 40000, 2500]) {
        limits = { ...usual, idleMs };
        heard.text = '';
        socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
        await until(socket, heard, /ok$/);
        assert.is(
          /Keep-Alive: timeout=(\d+)/i.exec(heard.text)?.[1],
          `${Math.floor(idleMs / 1000)}`,
        );
      }
      socket.destroy();
    },
  );
});

doors("a front has a default before its first configuration, and then that one's limits", () => {
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
  const before = clientLimitsOf(front);
  assert.ok(before.idleMs >= 10000 && before.headerBytes >= 16384);
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
});

doors.run();
