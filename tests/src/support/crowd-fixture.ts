/**
 * The system's own processes with little memory and few descriptors, for crowds of clients that do not behave: the
 * limits, the servers behind the system, ordinary requests, and the bounds that must hold while a crowd is connected.
 */
import type { ServerResponse } from 'node:http';
import * as assert from 'uvu/assert';
import { until } from '@tillerstair/fleet';
import { passHost } from '@tillerstair/sim';
import { closeStarted, startServer, type TestServer } from './http-server.js';
import { call } from './interface-calls.js';
import { configuration, respondByPath, tryIdOf } from './platform-servers.js';
import {
  endedProcesses,
  openDescriptors,
  peakMemoryMb,
  startServerList,
  startSystem,
  type StartedSystem,
} from './platform-system.js';

/** Memory of each machine in MB, and its descriptors. */
const memoryMb = 200;
const fdLimit = 400;
const maxHeapMb = 50;
/** Time limit for anything that a test waits for, in ms. */
export const timeoutMs = 30_000;

/** What the configuration lets clients send. */
export const intakeLimits = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 4194304,
  headerWaitMs: 3000,
  idleCloseMs: 15000,
};

/** Size of the answer at paths whose second segment is `long`, in bytes. */
export const longAnswerBytes = 8 << 20;

/** Answers `/x/long` with a long body, as events on a streamed route, and all other paths by `respondByPath`. */
const respond: typeof respondByPath = (received, res: ServerResponse, req) => {
  const [, route = '', behavior = ''] = received.path.split('/');
  if (behavior !== 'long') return respondByPath(received, res, req);
  const isStream = ['live', 'turn'].includes(route);
  res.writeHead(200, [
    ...['Try-Id', tryIdOf(received), 'Server-Seal', 'seal.1'],
    ...['Content-Type', isStream ? 'text/event-stream' : 'text/plain'],
  ]);
  const event = `id: 1\ndata: ${'x'.repeat(1000)}\n\n`;
  res.end(isStream ? event.repeat(longAnswerBytes / event.length) : 'x'.repeat(longAnswerBytes));
};

let requests = 0;

/** A new id of an attempt, which no other request of this process has. */
export const newAttempt = (): string => `crowd-${requests++}`;

/** The head of a request of a client inside the limits, with further header lines. */
export const requestHead = (method: string, path: string, lines: readonly string[] = []): string =>
  [
    `${method} ${path} HTTP/1.1`,
    `Host: ${passHost}`,
    `Try-Id: ${newAttempt()}`,
    'Time-Left-Ms: 3000',
    ...lines,
    '\r\n',
  ].join('\r\n');

/** A system under small limits, its servers, and what was started for it. */
export interface CrowdFixture {
  readonly system: StartedSystem;
  /** The servers by depot. */
  readonly servers: ReadonlyMap<string, TestServer>;
  /** Sends an ordinary request on a connection of its own; its status, or 0 if it got no complete answer. */
  readonly sendOrdinary: () => Promise<number>;
  /** Waits until ordinary requests are answered with success `count` times, or until a process has ended. */
  readonly serveOrdinary: (count: number) => Promise<void>;
  /** Asserts that no process has ended and that all stay within their limits. */
  readonly assertWithinLimits: () => void;
  readonly close: () => Promise<void>;
}

/** What a fixture may have other than the usual. */
export interface CrowdFixtureOptions {
  /** Number of fronts; one by default. */
  readonly frontCount?: number;
  /** Memory of each machine, in MB. */
  readonly machineMb?: number;
  /** Limit of the old generation of each process's heap, in MB. */
  readonly heapMb?: number;
}

const assertWithinLimits = (system: StartedSystem, machineMb: number): void => {
  assert.equal(endedProcesses(system), []);
  for (const started of system.started) {
    const name = `${started.name} ${started.role}`;
    const peakMb = peakMemoryMb(started);
    assert.ok(peakMb <= machineMb, `${name} used ${Math.round(peakMb)} MB of ${machineMb} MB`);
    const descriptors = openDescriptors(started);
    assert.ok(descriptors <= fdLimit, `${name} has ${descriptors} descriptors open`);
  }
};

/** Starts the system and waits until it serves. */
export const startCrowdFixture = async ({
  frontCount = 1,
  machineMb = memoryMb,
  heapMb = maxHeapMb,
}: CrowdFixtureOptions = {}): Promise<CrowdFixture> => {
  const servers = new Map([
    ['engines', await startServer(respond)],
    ['tools', await startServer(respond)],
  ]);
  const list = await startServerList(() =>
    [...servers].map(([depot, { port }]) => ({
      serverId: `i-${depot}`,
      depot,
      address: `127.0.0.1:${port}`,
      state: 'accepting' as const,
    })),
  );
  const system = await startSystem(list.port, {
    frontCount,
    nodeFlags: [`--max-old-space-size=${heapMb}`],
    maxDescriptors: fdLimit,
    intakeLimits: { memoryMb: machineMb, fdLimit },
  });
  const sendOrdinary = async (): Promise<number> => {
    const headers = ['Try-Id', newAttempt(), 'Time-Left-Ms', '3000'];
    const response = await call(system.ports.front, 'POST', '/again/x', headers, 'x').catch(
      () => undefined,
    );
    return response?.complete === true ? response.status : 0;
  };
  const serveOrdinary = async (count: number): Promise<void> => {
    for (let served = 0; served < count; served++)
      await until('an ordinary request is served', timeoutMs, async () => {
        return endedProcesses(system).length > 0 || (await sendOrdinary()) === 200;
      });
  };
  const body = JSON.stringify(configuration(5, { intakeLimits }));
  await until('the configuration is accepted', timeoutMs, async () => {
    const order = call(system.ports.control, 'PUT', '/configuration', ['If-Match', '0'], body);
    return (await order.catch(() => undefined))?.status === 200;
  });
  await serveOrdinary(1);
  return {
    system,
    servers,
    sendOrdinary,
    serveOrdinary,
    assertWithinLimits: () => assertWithinLimits(system, machineMb),
    close: async () => {
      await system.close();
      list.close();
      await closeStarted();
    },
  };
};
