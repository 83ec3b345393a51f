import { randomBytes } from 'node:crypto';
import {
  closeHttp,
  servePages,
  stderrLog,
  type ProxySettings,
  type Running,
} from '@tillerstair/settings';
import { hostClock, TcpTransport, toTimerMs } from '@tillerstair/wire';
import { HttpBackend } from './backend.js';
import { ownDialect, type Dialect } from './dialect.js';
import { Front } from './front.js';
import { callerPages } from './pages.js';
import { carrier, type Carry } from './passing.js';

export interface Door {
  close(): Promise<void>;
}

/** Further doors for callers, beside the product's own pages; closed once nothing is under way. */
export type Doors = (front: Front, carry: Carry) => Promise<Door>;

const noDoors: Doors = async () => ({ close: async () => undefined });
const usualConnections = 64;
const leastConnections = 2;
const spareFronts = 1.5;

export const startProxy = async (
  settings: ProxySettings,
  dialect: Dialect = ownDialect,
  doors: Doors = noDoors,
): Promise<Running<ProxySettings>> => {
  const log = stderrLog('proxy', settings.log);
  let { bounds: outer } = settings;
  const table = () => front.owner.current;
  const connectionLimitOf = (url: string): number => {
    const { state, config } = table() ?? {};
    const pool = [...(state?.servers.values() ?? [])].find((s) => s.url === url)?.pool;
    const most = config?.pools.find((p) => p.name === pool)?.connections ?? 0;
    const fronts = [...(state?.nodes.values() ?? [])].filter((m) => m.kind === 'front').length;
    return most === 0
      ? usualConnections
      : Math.max(leastConnections, Math.floor(most / (spareFronts * Math.max(1, fronts))));
  };
  const backend = new HttpBackend(
    { connectWithin: toTimerMs(outer.heartbeatInterval / 2), connections: connectionLimitOf },
    dialect,
  );
  const bounds = {
    get heartbeatInterval() {
      return outer.heartbeatInterval;
    },
    get putWithin() {
      return toTimerMs(outer.failureTimeout / 2);
    },
    get readLease() {
      return toTimerMs((outer.drainingWithin * 5) / 6);
    },
    poll: settings.asksServers ? toTimerMs(settings.bounds.heartbeatInterval / 4) : 0,
    retentionMs: settings.retentionMs,
    stopWithin: settings.stopWithin,
  };
  const front: Front = new Front({
    id: `f-${randomBytes(6).toString('hex')}`,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen),
    backend,
    bounds,
    log,
    affinity: settings.affinity,
  });
  const feed = new TcpTransport(settings.feed);
  await feed.serve(async (rpc) =>
    rpc.kind === 'front/hello'
      ? { id: front.p.id, addr: settings.addr, http: settings.http }
      : front.feed(rpc.body),
  );
  await front.start();
  const bodyMost = () => front.owner.current?.config?.limits.bodyBytes ?? settings.bodyMost;
  const carry = carrier(front, dialect, bodyMost);
  const ready = () =>
    front.stopping ? { ready: false, why: 'stopping' } : front.owner.readiness();
  const http = await servePages(settings.http, ready, callerPages(front, settings.bodyMost, carry));
  const door = await doors(front, carry);
  log.info(`Serving callers at ${settings.http}.`);
  return {
    reload: (next) => {
      outer = next.bounds;
    },
    stop: async () => {
      await front.stop();
      await door.close();
      await closeHttp(http);
      await feed.close();
      await backend.close();
    },
  };
};
