/** Faults of servers: lost and spoiled answers, silence, resets, refusals, coming and going. */
import type { SimFaults } from './sim-backend.js';
import type { Fault, FaultContext, FaultTable } from './storm-fault.js';

const drainingMs = 4000;

/** One server is in trouble for a time. */
const trouble =
  (f: Partial<SimFaults>): Fault =>
  (c) => {
    c.w.servers.set(c.server, f);
    c.tools.after(c.span, () => c.w.servers.heal(c.server));
    return c.server;
  };

/** A server is well and unwell by turns. */
const flapping: Fault = (c) => {
  const turns = 8;
  for (let n = 0; n < turns; n++)
    c.tools.after((c.span / turns) * n, () => {
      if (n % 2 === 0) c.w.servers.set(c.server, { refuses: true });
      else c.w.servers.heal(c.server);
    });
  c.tools.after(c.span, () => c.w.servers.heal(c.server));
  return c.server;
};

/** All servers of a pool that may be in trouble refuse at once. */
const allRefuse: Fault = (c) => {
  const pool = c.server.startsWith('m') ? ['m1', 'm2'] : ['s1', 's2'];
  for (const id of pool) c.w.servers.set(id, { refuses: true });
  c.tools.after(Math.min(c.span, 3000), () => pool.forEach((id) => c.w.servers.heal(id)));
  return pool.join(' ');
};

/** A server falls silent for good; later its address answers for another one, which declines. */
const reusedAddress: Fault = (c) => {
  c.w.servers.set(c.server, { dark: true });
  c.tools.after(c.span / 2, () => {
    c.w.servers.heal(c.server);
    c.w.servers.set(c.server, { declines: true });
  });
  c.tools.after(c.span, () => c.w.servers.heal(c.server));
  return c.server;
};

/** A server gives short notice and is gone. */
const spot: Fault = (c) => {
  if (!c.storm.leave(c.server)) return '';
  const noticeMs = 2000;
  c.tools.after(noticeMs, () => c.w.servers.set(c.server, { refuses: true }));
  c.tools.after(noticeMs + c.span, () => c.w.servers.heal(c.server));
  return c.server;
};

const poolOf = (server: string): string => (server.startsWith('m') ? 'models' : 'shop');

const comes = async (c: FaultContext, id: string): Promise<void> => {
  const body = JSON.stringify({ pool: poolOf(c.server), url: 'http://127.0.0.1:1' });
  await persist(c, 'PUT', `/v1/servers/${id}`, body);
};

const persist = async (c: FaultContext, method: string, path: string, body = ''): Promise<void> => {
  for (let n = 0; n < 60; n++) {
    const r = await c.storm.operate(c.w.master, method, path, body);
    if (r?.status === 200 || r?.status === 404) return;
    await c.storm.wait(500);
  }
};

/** A new server starts, an old one drains; later the new one leaves too, in order. */
const release: Fault = (c) => {
  const id = `r${c.n}`;
  c.storm.track(
    (async () => {
      await comes(c, id);
      c.storm.leave(c.server);
      await c.storm.wait(c.span);
      await persist(c, 'POST', `/v1/servers/${id}/draining`);
      await c.storm.wait(drainingMs);
      await persist(c, 'DELETE', `/v1/servers/${id}`);
    })(),
  );
  return id;
};

/** A server crashes for good while it is at work, and stays on the list for a time. */
const gone =
  (how: Partial<SimFaults>): Fault =>
  (c) => {
    const id = `g${c.n}`;
    c.storm.track(
      (async () => {
        await comes(c, id);
        await c.storm.wait(drainingMs / 2);
        c.w.servers.set(id, how);
        await c.storm.wait(c.span);
        await persist(c, 'DELETE', `/v1/servers/${id}`);
      })(),
    );
    return id;
  };

/** The fronts of one zone reach a server no longer. */
const oneZone: Fault = (c) => {
  const zone = Math.floor(c.rng() * c.w.zones);
  const pairs = c.w
    .of('front')
    .filter((m) => m.n % c.w.zones === zone)
    .map((m) => `${m.addr}>${c.server}`);
  for (const pair of pairs) c.w.servers.cutFronts.add(pair);
  c.tools.after(c.span, () => pairs.forEach((pair) => c.w.servers.cutFronts.delete(pair)));
  return pairs.join(' ');
};

export const serverFaults: FaultTable = new Map<string, Fault>([
  ['lose-outcomes', trouble({ loseEvery: 3 })],
  ['cut-streams', trouble({ cutEvery: 3 })],
  ['tear-events', trouble({ cutEvery: 2, tears: true })],
  ['lie', trouble({ lies: true })],
  ['decline', trouble({ declines: true })],
  ['refuse', trouble({ refuses: true })],
  ['slow-server', trouble({ slow: 20 })],
  ['mute-server', trouble({ mute: true })],
  ['dark-server', trouble({ dark: true })],
  ['resetting-server', trouble({ resets: true })],
  ['failing-server', trouble({ errs: true })],
  ['flapping-server', flapping],
  ['pool-refuses', allRefuse],
  ['reused-address', reusedAddress],
  ['leave', (c) => (c.storm.leave(c.server) ? c.server : '')],
  ['own-leave', (c) => (c.storm.ownLeave(c.server) ? c.server : '')],
  ['leave-spot', spot],
  ['release-server', release],
  ['gone-server', gone({ refuses: true })],
  ['gone-dark-server', gone({ dark: true })],
  ['cut-zone-from-server', oneZone],
]);
