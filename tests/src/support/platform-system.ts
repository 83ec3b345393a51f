/** The four programs of the users' platform as real processes on this machine, started as the platform starts them. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { mkdirSync, writeFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { freePorts } from '@tillerstair/fleet';
import { BoundAddress } from './http-server.js';
import { repositoryRoot } from './repository.js';

/** An entry of the platform's list of servers, as its pages give it. */
export interface ListEntry {
  readonly serverId: string;
  readonly depot: string;
  readonly address: string;
  readonly state: 'accepting' | 'winding_down';
}

/** The platform's list of servers, one entry a page. */
export const listUp = async (entries: () => readonly ListEntry[]) => {
  const asked: string[] = [];
  const http = createServer((req, res) => {
    asked.push(req.url ?? '');
    const url = new URL(req.url ?? '/', 'http://x');
    if (url.pathname !== '/servers') return res.writeHead(404).end();
    const all = entries();
    const at = Number(url.searchParams.get('pageToken') ?? 0);
    const page = all.slice(at, at + 1).map((entry) => ({
      ...entry,
      zone: 'gangnam-a',
      edition: 'v1',
      berths: 8,
      coldLeftMs: 0,
    }));
    const nextToken = at + 1 < all.length ? String(at + 1) : null;
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

/** How long after SIGTERM the platform kills a process, in ms. */
export const graceMs = 4000;
const millisecondsPerSecond = 1000;

const portsOfAMachine = 16;

const firstOfRange = async (): Promise<number> => {
  for (;;) {
    const ports = await freePorts(portsOfAMachine);
    const [first = 0] = ports;
    if (ports.every((port, i) => port === first + i)) return first;
  }
};

/** Ports where the programs serve callers, readiness and operators. */
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

/** The two programs of the n-th machine that serves clients; the first is at 127.0.0.1. */
const frontRoles = (n: number): readonly Role[] => {
  const name = `counter-${n + 1}`;
  const ip = n === 0 ? '127.0.0.1' : `127.0.0.${roles.length + n}`;
  return [
    { name, role: 'front-agent', ip, serves: [] },
    { name, role: 'front-proxy', ip, serves: ['counter'] },
  ];
};

/** The settings file with every name that the platform's pages give it. */
const settingsOf = (
  role: Role,
  ports: SystemPorts,
  firstPort: number,
  dataDir: string,
  listPort: number,
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
  portRange: [firstPort, firstPort + portsOfAMachine - 1],
  seedNodes: [`127.0.0.1:${ports.control}`],
  firstBoot: true,
  lossCounts: false,
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

/** Starts a control, three stores, and agents and fronts; `TILLERSTAIR_CONFIG` names the settings of each. */
export const systemUp = async (listPort: number, fronts = 1) => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-interface-'));
  const [front = 0, ready = 0, control = 0] = await freePorts(3);
  const ports: SystemPorts = { front, ready, control };
  const firstPort = await firstOfRange();
  const started: { readonly name: string; readonly role: string; readonly child: ChildProcess }[] =
    [];
  const allFronts = Array.from({ length: fronts }, (_, n) => frontRoles(n)).flat();
  for (const role of [...roles, ...allFronts]) {
    const data = join(dir, `${role.name}-${role.role}`);
    mkdirSync(data);
    const file = join(dir, `${role.name}-${role.role}.yaml`);
    writeFileSync(file, JSON.stringify(settingsOf(role, ports, firstPort, data, listPort)));
    const child = spawn(
      process.execPath,
      [join(repositoryRoot, 'platform', 'dist', 'main.js'), role.role],
      { env: { PATH: process.env['PATH'], TILLERSTAIR_CONFIG: file }, stdio: 'ignore' },
    );
    started.push({ name: role.name, role: role.role, child });
  }
  const close = async (): Promise<void> => {
    for (const { child } of started) child.kill('SIGKILL');
    await rm(dir, { recursive: true, force: true });
  };
  return { ports, started, close };
};
