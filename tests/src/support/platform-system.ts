/** Starts the four programs for the users' platform as real processes on this machine, in the platform's way. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { freePorts } from '@tillerstair/fleet';
import { BoundAddress } from './http-server.js';
import { repositoryRoot } from './repository.js';

/** An entry of the platform's server list, as its API returns it. */
export interface ListEntry {
  readonly serverId: string;
  readonly depot: string;
  readonly address: string;
  readonly state: 'accepting' | 'winding_down';
}

/** Serves the platform's server list with one entry per page; `asked` records the URLs of the requests. */
export const startServerList = async (entries: () => readonly ListEntry[]) => {
  const asked: string[] = [];
  const http = createServer((req, res) => {
    asked.push(req.url ?? '');
    const url = new URL(req.url ?? '/', 'http://x');
    if (url.pathname !== '/servers') return res.writeHead(404).end();
    const all = entries();
    const index = Number(url.searchParams.get('pageToken') ?? 0);
    const page = all.slice(index, index + 1).map((entry) => ({
      ...entry,
      zone: 'gangnam-a',
      edition: 'v1',
      berths: 8,
      coldLeftMs: 0,
    }));
    const nextToken = index + 1 < all.length ? String(index + 1) : null;
    res.end(JSON.stringify({ servers: page, nextToken }));
  });
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, asked, close };
};

/** Time between SIGTERM and SIGKILL when the platform stops a process, in ms. */
export const graceMs = 4000;
const millisecondsPerSecond = 1000;

const portsPerMachine = 16;

/** The first port of `portsPerMachine` consecutive free ports. */
const findFreePortRange = async (): Promise<number> => {
  for (;;) {
    const ports = await freePorts(portsPerMachine);
    const [firstPort = 0] = ports;
    if (ports.every((port, i) => port === firstPort + i)) return firstPort;
  }
};

/** Ports of the listeners for callers, readiness checks and operators. */
interface SystemPorts {
  readonly front: number;
  readonly ready: number;
  readonly control: number;
}

interface Role {
  readonly name: string;
  readonly role: string;
  readonly ip: string;
  readonly serves: readonly string[];
}

const roles: readonly Role[] = [
  { name: 'sorting-1', role: 'control-node', ip: '127.0.0.1', serves: ['signal_box'] },
  { name: 'vault-1', role: 'store-node', ip: '127.0.0.1', serves: ['vault'] },
  { name: 'vault-2', role: 'store-node', ip: '127.0.0.2', serves: ['vault'] },
  { name: 'vault-3', role: 'store-node', ip: '127.0.0.3', serves: ['vault'] },
];

/** The two programs of the front machine with the given index; the first machine is at 127.0.0.1. */
const frontRoles = (index: number): readonly Role[] => {
  const name = `counter-${index + 1}`;
  const ip = index === 0 ? '127.0.0.1' : `127.0.0.${roles.length + index}`;
  return [
    { name, role: 'front-agent', ip, serves: [] },
    { name, role: 'front-proxy', ip, serves: ['counter'] },
  ];
};

/** What the settings files of all processes of a system share. */
interface SystemAddresses {
  readonly ports: SystemPorts;
  readonly firstPort: number;
  readonly listPort: number;
  readonly intakeLimits: object;
}

/** A settings file with all fields that the platform's documentation lists. */
const settingsOf = (
  role: Role,
  dataDir: string,
  { ports, firstPort, listPort, intakeLimits }: SystemAddresses,
): object => ({
  nodeName: role.name,
  post: 'my-post',
  machineClass: role.name.split('-')[0],
  serves: role.serves,
  nodeIp: role.ip,
  zone: 'gangnam-a',
  region: 'seoul',
  zones: { 'gangnam-a': 'seoul' },
  bind: {
    ...(role.role === 'front-proxy'
      ? { frontAddr: `${role.ip}:${ports.front}`, readyAddr: `${role.ip}:${ports.ready}` }
      : {}),
    ...(role.role === 'control-node' ? { controlAddr: `127.0.0.1:${ports.control}` } : {}),
  },
  portRange: [firstPort, firstPort + portsPerMachine - 1],
  seedNodes: [`127.0.0.1:${ports.control}`],
  firstBoot: true,
  lossCounts: false,
  intakeLimits,
  dataDir: ['store-node', 'control-node'].includes(role.role) ? dataDir : null,
  discoverySource: 'cloud_api',
  entryKind: 'virtual_ip',
  withstand: { machineLosses: 1, zones: 0, regionLosses: 0 },
  timeBounds: {
    contactMs: 1500,
    drainMs: 1500,
    graceS: graceMs / millisecondsPerSecond,
    inForceMs: 1000,
    recoverS: 4,
    passWindowS: 60,
  },
  cloudApi: { address: `127.0.0.1:${listPort}`, ratePerS: 100, rounds: [], lagMaxMs: 100 },
});

/** How the processes of a system are started. */
export interface SystemOptions {
  /** Number of front machines; one by default. */
  readonly frontCount?: number;
  /** Flags of Node for each process. */
  readonly nodeFlags?: readonly string[];
  /** The limits of each machine in its settings file. */
  readonly intakeLimits?: object;
  /** Maximum number of descriptors that the kernel lets each process open. */
  readonly maxDescriptors?: number;
}

/** A process of a system, which can be started again after its end. */
export interface SystemProcess {
  readonly name: string;
  readonly role: string;
  /** The newest process that was started. */
  child: ChildProcess;
  /** Starts the program again with the same settings and data. */
  restart(): void;
}

/** Spawns Node under a limit of descriptors: the shell sets it and is replaced by Node. */
const spawnLimited = (
  args: readonly string[],
  settingsFile: string,
  { nodeFlags = [], maxDescriptors }: SystemOptions,
): ChildProcess => {
  const options = {
    env: { PATH: process.env['PATH'], TILLERSTAIR_CONFIG: settingsFile },
    stdio: 'ignore' as const,
  };
  const nodeArgs = [...nodeFlags, ...args];
  if (maxDescriptors === undefined) return spawn(process.execPath, nodeArgs, options);
  const script = `ulimit -n ${maxDescriptors}; exec "$0" "$@"`;
  return spawn('sh', ['-c', script, process.execPath, ...nodeArgs], options);
};

/**
 * Starts a control, three stores, and an agent and a proxy for each front; `TILLERSTAIR_CONFIG` is the path of the
 * settings file of each. `close` kills all processes and removes their files.
 */
export const startSystem = async (listPort: number, options: SystemOptions = {}) => {
  const { frontCount = 1, intakeLimits = {} } = options;
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-interface-'));
  const [front = 0, ready = 0, control = 0] = await freePorts(3);
  const ports: SystemPorts = { front, ready, control };
  const firstPort = await findFreePortRange();
  const started: SystemProcess[] = [];
  const allFronts = Array.from({ length: frontCount }, (_, index) => frontRoles(index)).flat();
  const main = join(repositoryRoot, 'platform', 'dist', 'main.js');
  for (const role of [...roles, ...allFronts]) {
    const data = join(dir, `${role.name}-${role.role}`);
    mkdirSync(data);
    const file = join(dir, `${role.name}-${role.role}.yaml`);
    const settings = settingsOf(role, data, { ports, firstPort, listPort, intakeLimits });
    writeFileSync(file, JSON.stringify(settings));
    const start = (): ChildProcess => spawnLimited([main, role.role], file, options);
    const systemProcess: SystemProcess = {
      name: role.name,
      role: role.role,
      child: start(),
      restart: () => {
        systemProcess.child = start();
      },
    };
    started.push(systemProcess);
  }
  const close = async (): Promise<void> => {
    for (const { child } of started) child.kill('SIGKILL');
    await rm(dir, { recursive: true, force: true });
  };
  return { ports, firstPort, started, close };
};

/** A system that `startSystem` started. */
export type StartedSystem = Awaited<ReturnType<typeof startSystem>>;

/** The processes that have ended, each with how it ended. */
export const endedProcesses = ({ started }: StartedSystem): readonly string[] =>
  started
    .filter(({ child }) => child.exitCode !== null || child.signalCode !== null)
    .map(({ name, role, child }) => `${name} ${role}: ${child.exitCode ?? child.signalCode}`);

/** Peak resident memory of a running process since its start, in MB (`VmHWM` in proc(5)). */
export const peakMemoryMb = ({ child }: SystemProcess): number => {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? NaN) / 1024;
};

/** Number of open descriptors of a running process. */
export const openDescriptors = ({ child }: SystemProcess): number =>
  readdirSync(`/proc/${child.pid}/fd`).length;
