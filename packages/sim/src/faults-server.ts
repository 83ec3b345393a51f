/** Faults of servers: lost and spoiled answers, silence, resets, refusals, coming and going. */
import type { ServerFaults } from './server-faults.js';
import type { Fault, FaultContext, FaultTable } from './storm-fault.js';

const drainingMs = 4000;

/** One server is in trouble for a time. */
const serverFault =
  (f: Partial<ServerFaults>): Fault =>
  (c) => {
    c.world.servers.set(c.server, f);
    c.tools.after(c.durationMs, () => c.world.servers.heal(c.server));
    return c.server;
  };

/** A server is well and unwell by turns. */
const flapping: Fault = (c) => {
  const turns = 8;
  for (let n = 0; n < turns; n++)
    c.tools.after((c.durationMs / turns) * n, () => {
      if (n % 2 === 0) c.world.servers.set(c.server, { refuses: true });
      else c.world.servers.heal(c.server);
    });
  c.tools.after(c.durationMs, () => c.world.servers.heal(c.server));
  return c.server;
};

/** All servers of a pool that may be in trouble refuse at once. */
const allRefuse: Fault = (c) => {
  const pool = c.server.startsWith('m') ? ['m1', 'm2'] : ['s1', 's2'];
  for (const id of pool) c.world.servers.set(id, { refuses: true });
  c.tools.after(Math.min(c.durationMs, 3000), () => pool.forEach((id) => c.world.servers.heal(id)));
  return pool.join(' ');
};

/** A server falls silent for good; later its address answers for another one, which declines. */
const reusedAddress: Fault = (c) => {
  c.world.servers.set(c.server, { unresponsive: true });
  c.tools.after(c.durationMs / 2, () => {
    c.world.servers.heal(c.server);
    c.world.servers.set(c.server, { declines: true });
  });
  c.tools.after(c.durationMs, () => c.world.servers.heal(c.server));
  return c.server;
};

/** A server gives short notice and is gone. */
const spot: Fault = (c) => {
  if (!c.storm.drainServer(c.server)) return '';
  const noticeMs = 2000;
  c.tools.after(noticeMs, () => c.world.servers.set(c.server, { refuses: true }));
  c.tools.after(noticeMs + c.durationMs, () => c.world.servers.heal(c.server));
  return c.server;
};

const poolOf = (server: string): string => (server.startsWith('m') ? 'models' : 'shop');

const addServer = async (c: FaultContext, id: string): Promise<void> => {
  const body = JSON.stringify({ pool: poolOf(c.server), url: 'http://127.0.0.1:1' });
  await persist(c, 'PUT', `/v1/servers/${id}`, body);
};

const persist = async (c: FaultContext, method: string, path: string, body = ''): Promise<void> => {
  for (let n = 0; n < 60; n++) {
    const r = await c.storm.operate(c.world.master, method, path, body);
    if (r?.status === 200 || r?.status === 404) return;
    await c.storm.delay(500);
  }
};

/** A new server starts, an old one drains; later the new one leaves too, in order. */
const release: Fault = (c) => {
  const id = `r${c.index}`;
  c.storm.track(
    (async () => {
      await addServer(c, id);
      c.storm.drainServer(c.server);
      await c.storm.delay(c.durationMs);
      await persist(c, 'POST', `/v1/servers/${id}/draining`);
      await c.storm.delay(drainingMs);
      await persist(c, 'DELETE', `/v1/servers/${id}`);
    })(),
  );
  return id;
};

/** A server crashes for good while it is at work, and stays on the list for a time. */
const crashed =
  (how: Partial<ServerFaults>): Fault =>
  (c) => {
    const id = `g${c.index}`;
    c.storm.track(
      (async () => {
        await addServer(c, id);
        await c.storm.delay(drainingMs / 2);
        c.world.servers.set(id, how);
        await c.storm.delay(c.durationMs);
        await persist(c, 'DELETE', `/v1/servers/${id}`);
      })(),
    );
    return id;
  };

/** The fronts of one zone reach a server no longer. */
const oneZone: Fault = (c) => {
  const zone = Math.floor(c.rng() * c.world.zones);
  const pairs = c.world
    .of('front')
    .filter((m) => m.index % c.world.zones === zone)
    .map((m) => `${m.addr}>${c.server}`);
  for (const pair of pairs) c.world.servers.cutFronts.add(pair);
  c.tools.after(c.durationMs, () =>
    pairs.forEach((pair) => c.world.servers.cutFronts.delete(pair)),
  );
  return pairs.join(' ');
};

/** These faults by name. */
export const serverFaults: FaultTable = new Map<string, Fault>([
  ['lose-outcomes', serverFault({ loseEvery: 3 })],
  ['cut-streams', serverFault({ cutEvery: 3 })],
  ['tear-events', serverFault({ cutEvery: 2, cutsInsideEvent: true })],
  ['lie', serverFault({ namesOtherAttempt: true })],
  ['decline', serverFault({ declines: true })],
  ['refuse', serverFault({ refuses: true })],
  ['slow-server', serverFault({ slow: 20 })],
  ['mute-server', serverFault({ neverReplies: true })],
  ['dark-server', serverFault({ unresponsive: true })],
  ['resetting-server', serverFault({ resets: true })],
  ['failing-server', serverFault({ fails: true })],
  ['flapping-server', flapping],
  ['pool-refuses', allRefuse],
  ['reused-address', reusedAddress],
  ['leave', (c) => (c.storm.drainServer(c.server) ? c.server : '')],
  ['own-leave', (c) => (c.storm.reportDraining(c.server) ? c.server : '')],
  ['leave-spot', spot],
  ['release-server', release],
  ['gone-server', crashed({ refuses: true })],
  ['gone-dark-server', crashed({ unresponsive: true })],
  ['cut-zone-from-server', oneZone],
]);
