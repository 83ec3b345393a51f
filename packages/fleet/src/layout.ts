/** Houses, sizes, zones, and the ports and random numbers of a fleet. */
import { createServer } from 'node:net';

/** One of the users' houses: its pools, servers and paths. */
export interface Site {
  readonly name: string;
  readonly modelPool: string;
  readonly servicePool: string;
  readonly models: number;
  readonly services: number;
  readonly msPerToken: number;
  readonly paths: readonly string[];
}

/** The house in Seoul. */
export const seoul: Site = {
  name: 'seoul',
  modelPool: 'seoul-models',
  servicePool: 'shop',
  models: 13,
  services: 3,
  msPerToken: 4,
  paths: ['/shop/stock/hold', '/shop/delivery/book', '/shop/catalogue/update'],
};

/** The house in Norway. */
export const norway: Site = {
  name: 'norway',
  modelPool: 'norway-models',
  servicePool: 'notices',
  models: 6,
  services: 3,
  msPerToken: 2,
  paths: ['/notices/shift/approve', '/notices/payroll/remind', '/notices/safety/sign-off'],
};

/** The pool of the n-th server: every other one is in a second pool. */
export const poolOf = (pool: string, n: number): string => (n % 2 === 0 ? pool : `${pool}-b`);

/** How many machines of each kind. */
export interface FleetSizes {
  readonly controls: number;
  readonly stores: number;
  readonly fronts: number;
}

/** The sizes of the full fleet. */
export const fullSizes: FleetSizes = { controls: 5, stores: 3, fronts: 8 };
/** The sizes of the small fleet. */
export const smallSizes: FleetSizes = { controls: 3, stores: 3, fronts: 2 };

const zones = ['zone-a', 'zone-b', 'zone-c'] as const;
/** The zone of the n-th machine of a kind. */
export const zoneOf = (n: number): string => zones[n % zones.length];

const portFloor = 11000;
const portSpan = 20000;
let nextPort = (process.pid * 613) % portSpan;

const bindable = (port: number): Promise<boolean> =>
  new Promise((done) => {
    const s = createServer();
    s.once('error', () => done(false));
    s.listen(port, '127.0.0.1', () => s.close(() => done(true)));
  });

/** Ports that were free a moment ago; each is given out once by this process. */
export const freePorts = async (count: number): Promise<readonly number[]> => {
  const out: number[] = [];
  for (let tries = 0; out.length < count && tries < portSpan; tries++) {
    const port = portFloor + (nextPort++ % portSpan);
    if (await bindable(port)) out.push(port);
  }
  return out;
};

/** Numbers from 0 up to 1, the same ones for the same seed. */
export const seededRandom = (seed: number): (() => number) => {
  let a = (seed ^ 0x9e3779b9) >>> 0;
  return () => {
    a = (a + 0x6d2b79f5) >>> 0;
    let t = Math.imul(a ^ (a >>> 15), 1 | a);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
};
