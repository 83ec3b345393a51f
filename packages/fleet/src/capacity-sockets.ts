/** Sweeps on real sockets: one control in this process, many fronts without traffic in another. */
import { mkdtempSync, rmSync } from 'node:fs';
import { spawn } from 'node:child_process';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Agent } from '@tillerstair/agent';
import { ControlNode } from '@tillerstair/control';
import { FolderDisk } from '@tillerstair/journal';
import { Front } from '@tillerstair/proxy';
import type { Backend } from '@tillerstair/session-owner';
import { hostClock, silentLogger, delay, TcpTransport, type CallOptions } from '@tillerstair/wire';
import { DiskElectionStore, zenBounds } from '@tillerstair/zen';
import { reduceState } from '@tillerstair/state';
import { z } from 'zod';
import type { Sweep, Values } from './capacity.js';
import { closing, heapMb } from './capacity-meter.js';
import { configOf, serversOf } from './capacity-rig.js';
import { freePorts } from './layout.js';

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});
const measureMs = 8000;
/** Time for a change to come to rest before something is measured. */
const restMs = 4000;
const Measured = z.object({
  cpuMs: z.number(),
  heapMb: z.number(),
  rssMb: z.number(),
  asked: z.number(),
  rounds: z.number(),
});

class Counted extends TcpTransport {
  static asked = 0;
  static rounds = 0;

  override call(to: string, kind: string, body: unknown, options: CallOptions): Promise<unknown> {
    Counted.asked++;
    if (kind === 'zen/ping') Counted.rounds++;
    return super.call(to, kind, body, options);
  }
}

const never = { kind: 'never-left', text: 'hollow' } as const;

const idle = (): Backend => ({
  generate: () => Promise.resolve(never),
  act: () => Promise.resolve(never),
  pass: () => Promise.resolve(never),
  load: () => Promise.resolve({ busy: 0, draining: false }),
});

const hollow = async (
  seed: string,
  [addr = 0, loop = 0, feed = 0, data = 0]: readonly number[],
  n: number,
): Promise<void> => {
  const at = (p: number): string => `127.0.0.1:${p}`;
  const { heartbeatInterval, failureTimeout, readLease } = bounds;
  const front = new Front({
    id: `f-${process.pid}-${n}`,
    clock: hostClock,
    transport: new TcpTransport(at(data)),
    backend: idle(),
    bounds: {
      heartbeatInterval,
      putTimeoutMs: failureTimeout / 2,
      readLease,
      pollIntervalMs: heartbeatInterval / 4,
      retentionMs: 3600000,
      stopWithin: failureTimeout,
    },
    log: silentLogger,
    affinity: true,
  });
  const fed = new TcpTransport(at(feed));
  const hello = { id: front.id, addr: at(data), http: '' };
  await fed.serve(
    (rpc) =>
      new Promise((resolve) => {
        resolve(rpc.kind === 'front/hello' ? hello : front.feed(rpc.body));
      }),
  );
  await front.start();
  const agent = new Agent({
    seeds: [seed, seed, seed],
    clock: hostClock,
    transport: new Counted(at(addr)),
    bounds,
    log: silentLogger,
    addr: at(addr),
    http: '',
    zone: `zone-${n % 3}`,
    name: `hollow-${n}`,
    stopWithin: failureTimeout,
    proxy: at(feed),
    loopback: new TcpTransport(at(loop)),
  });
  await agent.start();
};

/** Hollow fronts, all in this process, on real sockets; measured when told to on stdin, ended with it. */
export const hollowFronts = async (count: number, seed: string): Promise<void> => {
  const ports = await freePorts(count * 4);
  for (let n = 0; n < count; n++) await hollow(seed, ports.slice(n * 4, n * 4 + 4), n);
  process.stdout.write('up\n');
  process.stdin.setEncoding('utf8');
  const commands: AsyncIterator<unknown> = process.stdin[Symbol.asyncIterator]();
  while ((await commands.next()).done !== true) {
    const t0 = process.cpuUsage();
    const { asked, rounds } = Counted;
    await delay(hostClock, measureMs);
    const { user, system } = process.cpuUsage(t0);
    const sent = { asked: Counted.asked - asked, rounds: Counted.rounds - rounds };
    process.stdout.write(
      `${JSON.stringify({ ...sent, cpuMs: (user + system) / 1000, heapMb: heapMb(), rssMb: process.memoryUsage().rss / 1e6 })}\n`,
    );
  }
};

const until = async (what: string, ready: () => boolean): Promise<void> => {
  const t0 = hostClock.now();
  while (!ready()) {
    if (hostClock.now() - t0 > 60000) throw new Error(`${what}: not within a minute`);
    await delay(hostClock, 50);
  }
};

/** A control on real sockets with its disk; `close` ends it and removes what it wrote. */
interface RunningControl {
  readonly node: ControlNode;
  readonly addr: string;
  close(): Promise<void>;
}

const startControl = async (): Promise<RunningControl> => {
  const dir = mkdtempSync(join(tmpdir(), 'capacity-'));
  const disk = await FolderDisk.acquire(dir);
  const watched = closing(disk);
  const [port = 0] = await freePorts(1);
  const addr = `127.0.0.1:${port}`;
  const electionStore = await DiskElectionStore.open(watched.disk, () => 'c-0', 4 << 20);
  const localMember = {
    id: electionStore.persisted.id,
    kind: 'control' as const,
    addr,
    http: '',
    zone: 'zone-0',
    data: '',
    name: 'control-0',
  };
  const node = new ControlNode({
    localMember,
    seeds: [addr, addr, addr],
    clock: hostClock,
    transport: new TcpTransport(addr),
    electionStore,
    bounds,
    log: silentLogger,
    slots: 64,
  });
  await node.start();
  const close = async (): Promise<void> => {
    await node.stop();
    await watched.close();
    await disk.release();
    rmSync(dir, { recursive: true, force: true });
  };
  return { node, addr, close };
};

/** The process of hollow fronts; it prints a line when they are up, and one for each measurement. */
class HollowProcess {
  private output = '';
  private readonly child;

  constructor(count: number, seed: string) {
    const program = process.argv[1] ?? '';
    this.child = spawn(process.execPath, [program, 'hollow', String(count), '--seed', seed], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    this.child.stdout.setEncoding('utf8').on('data', (text: string) => {
      this.output += text;
    });
  }

  /** Begins a measurement; the result is there once its line came. */
  measure(): () => Promise<z.infer<typeof Measured>> {
    this.child.stdin.write('measure\n');
    const lines = this.lineCount();
    return async () => {
      await until("the hollow fronts' figures", () => this.lineCount() > lines);
      return Measured.parse(JSON.parse(this.output.trimEnd().split('\n').at(-1) ?? ''));
    };
  }

  end(): void {
    this.child.kill();
  }

  private lineCount(): number {
    return this.output.split('\n').length;
  }
}

/** Brings a control to lead so many hollow fronts, with servers and a configuration. */
const fill = async (node: ControlNode, servers: number, fronts: number): Promise<void> => {
  await until('a master', () => node.zen.leading?.committed !== undefined);
  const put = await node.operate({ method: 'PUT', path: '/v1/config', body: configOf(0, 20) });
  if (put.status !== 200) throw new Error(JSON.stringify(put));
  await node.zen.leading?.submit((state) =>
    serversOf(servers).reduce(
      (next, server) => reduceState(next, { kind: 'server', server }),
      state,
    ),
  );
  await until('all fronts', () => node.zen.leading?.committed?.nodes.size === fronts + 1);
  await delay(hostClock, restMs);
};

const measureAtRest = async (fronts: HollowProcess, count: number): Promise<Values> => {
  const figures = fronts.measure();
  const before = process.cpuUsage();
  await delay(hostClock, measureMs);
  const { user, system } = process.cpuUsage(before);
  const reported = await figures();
  const percentOfCore = (ms: number): number => (ms / measureMs) * 100;
  return new Map([
    ['master at rest, % of a core', percentOfCore((user + system) / 1000)],
    ['fronts at rest, % of a core, all', percentOfCore(reported.cpuMs)],
    ['asked by an agent a second', reported.asked / (measureMs / 1000) / count],
    ['asked in rounds by an agent a second', reported.rounds / (measureMs / 1000) / count],
    ['fronts, MB resident, all', reported.rssMb],
    ['fronts, MB of heap, all', reported.heapMb],
    ['master, MB of heap', heapMb()],
  ]);
};

const sockets =
  (servers: number) =>
  async (count: number): Promise<Values> => {
    const control = await startControl();
    const hollowProcess = new HollowProcess(count, control.addr);
    try {
      await fill(control.node, servers, count);
      return await measureAtRest(hollowProcess, count);
    } finally {
      hollowProcess.end();
      await control.close();
    }
  };

/** These sweeps by name. */
export const socketSweeps: ReadonlyMap<string, Sweep> = new Map<string, Sweep>([
  [
    'sockets',
    {
      about: 'hollow fronts in one process, one control in another, 16 servers, at rest',
      by: 'front',
      how: 'sockets',
      sizes: [10, 20, 40, 80],
      small: [],
      grown: 410,
      run: sockets(16),
    },
  ],
  [
    'sockets-servers',
    {
      about: 'servers before 10 hollow fronts, one control, at rest',
      by: 'server',
      how: 'sockets',
      sizes: [16, 64, 128, 256],
      small: [],
      grown: 3400,
      run: (n) => sockets(n)(10),
    },
  ],
]);
