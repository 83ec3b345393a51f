/** Users' sites, machine counts, zones, ports and random numbers of a fleet. */
import { createServer } from 'node:net';

/** One of the users' sites: its server pools, server counts and call paths. */
export interface Site {
  readonly name: string;
  readonly modelPool: string;
  readonly servicePool: string;
  /** Number of model servers. */
  readonly models: number;
  /** Number of service servers. */
  readonly services: number;
  /** Generation time of the faster model servers, in ms a token. */
  readonly msPerToken: number;
  /** Paths of calls; the first one is urgent. */
  readonly paths: readonly string[];
}

/** The users' site in Seoul. */
export const seoul: Site = {
  name: 'seoul',
  modelPool: 'seoul-models',
  servicePool: 'shop',
  models: 13,
  services: 3,
  msPerToken: 4,
  paths: ['/shop/stock/hold', '/shop/delivery/book', '/shop/catalogue/update'],
};

/** The users' site in Norway. */
export const norway: Site = {
  name: 'norway',
  modelPool: 'norway-models',
  servicePool: 'notices',
  models: 6,
  services: 3,
  msPerToken: 2,
  paths: ['/notices/shift/approve', '/notices/payroll/remind', '/notices/safety/sign-off'],
};

/** The pool of the n-th server: odd-numbered servers are in a second pool, `<pool>-b`. */
export const poolOf = (pool: string, n: number): string => (n % 2 === 0 ? pool : `${pool}-b`);

/** Number of machines of each kind. */
export interface FleetSizes {
  readonly controls: number;
  readonly stores: number;
  readonly fronts: number;
}

/** The machine counts of `--sizes full`. */
export const fullSizes: FleetSizes = { controls: 5, stores: 3, fronts: 8 };
/** The machine counts of `--sizes small`. */
export const smallSizes: FleetSizes = { controls: 3, stores: 3, fronts: 2 };

const zones = ['zone-a', 'zone-b', 'zone-c'] as const;
/** The zone of the n-th machine of a kind: the three zones take turns. */
export const zoneOf = (index: number): string => zones[index % zones.length];

const firstPort = 11000;
const portCount = 20000;
let nextPort = (process.pid * 613) % portCount;

const canBind = (port: number): Promise<boolean> =>
  new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });

/**
 * Finds ports that can be bound on 127.0.0.1 at the moment. The process attempts each port of its range once before it
 * repeats one. Returns fewer than `count` if the whole range was tried.
 */
export const freePorts = async (count: number): Promise<readonly number[]> => {
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count && attempts < portCount; attempts++) {
    const port = firstPort + (nextPort++ % portCount);
    if (await canBind(port)) ports.push(port);
  }
  return ports;
};

/** A pseudo-random generator (mulberry32) of numbers from 0 up to 1; the same seed gives the same series. */
export const seededRandom = (seed: number): (() => number) => {
  let state = (seed ^ 0x9e3779b9) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let bits = Math.imul(state ^ (state >>> 15), 1 | state);
    bits = (bits + Math.imul(bits ^ (bits >>> 7), 61 | bits)) ^ bits;
    return ((bits ^ (bits >>> 14)) >>> 0) / 4294967296;
  };
};
