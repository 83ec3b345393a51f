/** Sweeps on real sockets: one control in this process, many idle fronts (without traffic) in another. */
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
import { trackOpenFiles, heapMb } from './capacity-meter.js';
import { configText, testServers } from './capacity-deployment.js';
import { freePorts } from './layout.js';

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});
/** Duration of a measurement. */
const measureMs = 8000;
/** Wait after a change, so that its effects have ended before a measurement begins. */
const restMs = 4000;
/**
 * A line that the process of idle fronts prints for each measurement: requests sent by agents, all and of ping rounds.
 */
const Measured = z.object({
  cpuMs: z.number(),
  heapMb: z.number(),
  rssMb: z.number(),
  asked: z.number(),
  rounds: z.number(),
});

/** Counts the requests that all agents of this process send. */
class CountingTransport extends TcpTransport {
  static asked = 0;
  static rounds = 0;

  override call(to: string, kind: string, body: unknown, options: CallOptions): Promise<unknown> {
    CountingTransport.asked++;
    if (kind === 'zen/ping') CountingTransport.rounds++;
    return super.call(to, kind, body, options);
  }
}

/** The result of a request to a server: none is ever sent. */
const neverSent = { kind: 'never-left', text: 'hollow' } as const;

/** A backend without servers. */
const unusedBackend = (): Backend => ({
  generate: () => Promise.resolve(neverSent),
  act: () => Promise.resolve(neverSent),
  pass: () => Promise.resolve(neverSent),
  load: () => Promise.resolve({ busy: 0, draining: false }),
});

/** Starts the proxy and the agent of one idle front on four ports: agent, loopback, feed and data. */
const startIdleFront = async (
  seed: string,
  [addr = 0, loop = 0, feed = 0, data = 0]: readonly number[],
  index: number,
): Promise<void> => {
  const addressOf = (port: number): string => `127.0.0.1:${port}`;
  const { heartbeatInterval, failureTimeout, readLease } = bounds;
  const front = new Front({
    id: `f-${process.pid}-${index}`,
    clock: hostClock,
    transport: new TcpTransport(addressOf(data)),
    backend: unusedBackend(),
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
  const feedTransport = new TcpTransport(addressOf(feed));
  const hello = { id: front.id, addr: addressOf(data), http: '' };
  await feedTransport.serve(
    (rpc) =>
      new Promise((resolve) => {
        resolve(rpc.kind === 'front/hello' ? hello : front.feed(rpc.body));
      }),
  );
  await front.start();
  const agent = new Agent({
    seeds: [seed, seed, seed],
    clock: hostClock,
    transport: new CountingTransport(addressOf(addr)),
    bounds,
    log: silentLogger,
    addr: addressOf(addr),
    http: '',
    zone: `zone-${index % 3}`,
    name: `hollow-${index}`,
    stopWithin: failureTimeout,
    proxy: addressOf(feed),
    loopback: new TcpTransport(addressOf(loop)),
  });
  await agent.start();
};

/**
 * Runs idle fronts in this process, on real sockets. Each line on stdin starts a measurement, whose result is printed
 * as a line of JSON. Resolves when stdin ends.
 */
export const runIdleFronts = async (count: number, seed: string): Promise<void> => {
  const ports = await freePorts(count * 4);
  for (let index = 0; index < count; index++)
    await startIdleFront(seed, ports.slice(index * 4, index * 4 + 4), index);
  process.stdout.write('up\n');
  process.stdin.setEncoding('utf8');
  const commands: AsyncIterator<unknown> = process.stdin[Symbol.asyncIterator]();
  while ((await commands.next()).done !== true) {
    const cpuBefore = process.cpuUsage();
    const { asked, rounds } = CountingTransport;
    await delay(hostClock, measureMs);
    const { user, system } = process.cpuUsage(cpuBefore);
    const sent = {
      asked: CountingTransport.asked - asked,
      rounds: CountingTransport.rounds - rounds,
    };
    process.stdout.write(
      `${JSON.stringify({ ...sent, cpuMs: (user + system) / 1000, heapMb: heapMb(), rssMb: process.memoryUsage().rss / 1e6 })}\n`,
    );
  }
};

/** Polls until a condition holds; throws after a minute. */
const until = async (condition: string, holds: () => boolean): Promise<void> => {
  const startedAt = hostClock.now();
  while (!holds()) {
    if (hostClock.now() - startedAt > 60000)
      throw new Error(`timed out waiting for ${condition} after a minute`);
    await delay(hostClock, 50);
  }
};

/** A control on real sockets with its disk; `close` stops it and deletes its data. */
interface RunningControl {
  readonly node: ControlNode;
  readonly addr: string;
  close(): Promise<void>;
}

/** Starts a control that is the only seed and voter. */
const startControl = async (): Promise<RunningControl> => {
  const dir = mkdtempSync(join(tmpdir(), 'capacity-'));
  const disk = await FolderDisk.acquire(dir);
  const watched = trackOpenFiles(disk);
  const [port = 0] = await freePorts(1);
  const addr = `127.0.0.1:${port}`;
  const electionStore = await DiskElectionStore.open(watched.disk, () => 'c-0', 4 << 20);
  const self = {
    id: electionStore.persisted.id,
    kind: 'control' as const,
    addr,
    http: '',
    zone: 'zone-0',
    data: '',
    name: 'control-0',
  };
  const node = new ControlNode({
    me: self,
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

/** A child process of idle fronts, which prints `up` once they run and a line for each measurement. */
class IdleFrontsProcess {
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

  /** Starts a measurement; the returned function waits for its result. */
  measure(): () => Promise<z.infer<typeof Measured>> {
    this.child.stdin.write('measure\n');
    const lines = this.lineCount();
    return async () => {
      await until("the idle fronts' measurement", () => this.lineCount() > lines);
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

/**
 * Puts a configuration in force, registers servers, and waits until all fronts have joined and the change has settled.
 */
const prepare = async (node: ControlNode, servers: number, fronts: number): Promise<void> => {
  await until('a master with a committed state', () => node.zen.leading?.committed !== undefined);
  const reply = await node.operate({ method: 'PUT', path: '/v1/config', body: configText(0, 20) });
  if (reply.status !== 200) throw new Error(JSON.stringify(reply));
  await node.zen.leading?.submit((state) =>
    testServers(servers).reduce(
      (next, server) => reduceState(next, { kind: 'server', server }),
      state,
    ),
  );
  await until('all fronts to join', () => node.zen.leading?.committed?.nodes.size === fronts + 1);
  await delay(hostClock, restMs);
};

/** Measures the idle master and the idle fronts at the same time. */
const measureIdle = async (fronts: IdleFrontsProcess, count: number): Promise<Values> => {
  const measurement = fronts.measure();
  const cpuBefore = process.cpuUsage();
  await delay(hostClock, measureMs);
  const { user, system } = process.cpuUsage(cpuBefore);
  const reported = await measurement();
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

/** A sweep over counts of fronts, with a fixed count of servers. */
const sockets =
  (servers: number) =>
  async (count: number): Promise<Values> => {
    const control = await startControl();
    const idleFronts = new IdleFrontsProcess(count, control.addr);
    try {
      await prepare(control.node, servers, count);
      return await measureIdle(idleFronts, count);
    } finally {
      idleFronts.end();
      await control.close();
    }
  };

/** The sweeps on real sockets, keyed by name. */
export const socketSweeps: ReadonlyMap<string, Sweep> = new Map<string, Sweep>([
  [
    'sockets',
    {
      about: 'idle fronts in one process, one control in another, 16 servers',
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
      about: 'servers behind 10 idle fronts, one control',
      by: 'server',
      how: 'sockets',
      sizes: [16, 64, 128, 256],
      small: [],
      grown: 3400,
      run: (n) => sockets(n)(10),
    },
  ],
]);
