import { randomBytes } from 'node:crypto';
import { closeHttp, servePages, stderrLog, type ProxyEnv, type Running } from '@tillerstair/env';
import { hostClock, TcpCircuits, wholeMs } from '@tillerstair/wire';
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
const usualCircuits = 64;
const leastCircuits = 2;
const spareFronts = 1.5;

export const startProxy = async (env: ProxyEnv, dialect: Dialect = ownDialect, doors: Doors = noDoors): Promise<Running<ProxyEnv>> => {
  const log = stderrLog('proxy', env.log);
  let { bounds: outer } = env;
  const table = () => front.steward.current;
  const circuitsTo = (url: string): number => {
    const { state, config } = table() ?? {};
    const pool = [...(state?.servers.values() ?? [])].find((s) => s.url === url)?.pool;
    const most = config?.pools.find((p) => p.name === pool)?.circuits ?? 0;
    const fronts = [...(state?.nodes.values() ?? [])].filter((m) => m.kind === 'front').length;
    return most === 0 ? usualCircuits : Math.max(leastCircuits, Math.floor(most / (spareFronts * Math.max(1, fronts))));
  };
  const backend = new HttpBackend({ connectWithin: wholeMs(outer.beat / 2), circuits: circuitsTo }, dialect);
  const bounds = {
    get beat() {
      return outer.beat;
    },
    get putWithin() {
      return wholeMs(outer.silent / 2);
    },
    get grace() {
      return wholeMs((outer.leavingWithin * 5) / 6);
    },
    poll: env.asksServers ? wholeMs(env.bounds.beat / 4) : 0,
    keepMs: env.keepMs,
    stopWithin: env.stopWithin,
  };
  const front: Front = new Front({
    id: `f-${randomBytes(6).toString('hex')}`, clock: hostClock, circuits: new TcpCircuits(env.addr, env.listen), backend, bounds, log, affinity: env.affinity,
  });
  const feed = new TcpCircuits(env.feed);
  await feed.serve(async (inq) => (inq.kind === 'front/hello' ? { id: front.p.id, addr: env.addr, http: env.http } : front.feed(inq.body)));
  await front.start();
  const bodyMost = () => front.steward.current?.config?.limits.bodyBytes ?? env.bodyMost;
  const carry = carrier(front, dialect, bodyMost);
  const ready = () => (front.stopping ? { ready: false, why: 'stopping' } : front.steward.readiness());
  const http = await servePages(env.http, ready, callerPages(front, env.bodyMost, carry));
  const door = await doors(front, carry);
  log.info(`Serving callers at ${env.http}.`);
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
