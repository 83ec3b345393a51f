/** Server faults of storms: lost or corrupt responses, silence, resets, refusals, and servers that come and go. */
import type { ServerFaults } from './server-faults.js';
import type { Fault, FaultContext, FaultTable } from './storm-fault.js';

const drainingMs = 4000;

/** Sets faults of one server for the duration. */
const serverFault =
  (faults: Partial<ServerFaults>): Fault =>
  (context) => {
    context.world.servers.set(context.server, faults);
    context.tools.after(context.durationMs, () => context.world.servers.heal(context.server));
    return context.server;
  };

/** A server refuses connections and recovers in alternating phases. */
const flapping: Fault = (context) => {
  const phases = 8;
  for (let phase = 0; phase < phases; phase++)
    context.tools.after((context.durationMs / phases) * phase, () => {
      if (phase % 2 === 0) context.world.servers.set(context.server, { refuses: true });
      else context.world.servers.heal(context.server);
    });
  context.tools.after(context.durationMs, () => context.world.servers.heal(context.server));
  return context.server;
};

/** All servers of a pool that faults may affect refuse connections at once, for 3 s at most. */
const poolRefuses: Fault = (context) => {
  const letter = context.server.charAt(0);
  const pool = [`${letter}1`, `${letter}2`];
  for (const id of pool) context.world.servers.set(id, { refuses: true });
  context.tools.after(Math.min(context.durationMs, 3000), () =>
    pool.forEach((id) => context.world.servers.heal(id)),
  );
  return pool.join(' ');
};

/** A server stops responding; later another server responds at its address and declines its requests. */
const reusedAddress: Fault = (context) => {
  context.world.servers.set(context.server, { unresponsive: true });
  context.tools.after(context.durationMs / 2, () => {
    context.world.servers.heal(context.server);
    context.world.servers.set(context.server, { declines: true });
  });
  context.tools.after(context.durationMs, () => context.world.servers.heal(context.server));
  return context.server;
};

/** A server starts draining and refuses connections 2 s later. */
const leaveAtShortNotice: Fault = (context) => {
  if (!context.storm.drainServer(context.server)) return '';
  const noticeMs = 2000;
  context.tools.after(noticeMs, () => context.world.servers.set(context.server, { refuses: true }));
  context.tools.after(noticeMs + context.durationMs, () =>
    context.world.servers.heal(context.server),
  );
  return context.server;
};

const pools: ReadonlyMap<string, string> = new Map([
  ['m', 'models'],
  ['s', 'shop'],
  ['k', 'memo'],
  ['l', 'ledger'],
]);

/** The pool of a server of the storm, by the first letter of its id. */
const poolOf = (server: string): string => pools.get(server.charAt(0)) ?? 'shop';

const addServer = async (context: FaultContext, id: string): Promise<void> => {
  const body = JSON.stringify({ pool: poolOf(context.server), url: 'http://127.0.0.1:1' });
  await requestUntilAccepted(context, 'PUT', `/v1/servers/${id}`, body);
};

/** Sends a request to the master until the status is 200 or 404, at most 60 times. */
const requestUntilAccepted = async (
  context: FaultContext,
  method: string,
  path: string,
  body = '',
): Promise<void> => {
  for (let attempt = 0; attempt < 60; attempt++) {
    const response = await context.storm.operate(context.world.master, method, path, body);
    if (response?.status === 200 || response?.status === 404) return;
    await context.storm.delay(500);
  }
};

/** A new server is added while another one drains; later the new one is drained and removed as well. */
const replaceServer: Fault = (context) => {
  const id = `r${context.index}`;
  context.storm.track(
    (async () => {
      await addServer(context, id);
      context.storm.drainServer(context.server);
      await context.storm.delay(context.durationMs);
      await requestUntilAccepted(context, 'POST', `/v1/servers/${id}/draining`);
      await context.storm.delay(drainingMs);
      await requestUntilAccepted(context, 'DELETE', `/v1/servers/${id}`);
    })(),
  );
  return id;
};

/** A new server crashes for good while it serves, and is removed from the list only after the duration. */
const crashForGood =
  (faults: Partial<ServerFaults>): Fault =>
  (context) => {
    const id = `g${context.index}`;
    context.storm.track(
      (async () => {
        await addServer(context, id);
        await context.storm.delay(drainingMs / 2);
        context.world.servers.set(id, faults);
        await context.storm.delay(context.durationMs);
        await requestUntilAccepted(context, 'DELETE', `/v1/servers/${id}`);
      })(),
    );
    return id;
  };

/** The fronts of one zone can no longer connect to a server. */
const cutZone: Fault = (context) => {
  const zone = Math.floor(context.rng() * context.world.zones);
  const pairs = context.world
    .of('front')
    .filter((machine) => machine.index % context.world.zones === zone)
    .map((machine) => `${machine.addr}>${context.server}`);
  for (const pair of pairs) context.world.servers.cutFronts.add(pair);
  context.tools.after(context.durationMs, () =>
    pairs.forEach((pair) => context.world.servers.cutFronts.delete(pair)),
  );
  return pairs.join(' ');
};

/** The server faults, by the names that plans use. */
export const serverFaults: FaultTable = new Map<string, Fault>([
  ['lose-outcomes', serverFault({ loseEvery: 3 })],
  ['lose-in-silence', serverFault({ loseEvery: 3, losesSilently: true })],
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
  ['pool-refuses', poolRefuses],
  ['reused-address', reusedAddress],
  ['leave', (context) => (context.storm.drainServer(context.server) ? context.server : '')],
  ['own-leave', (context) => (context.storm.reportDraining(context.server) ? context.server : '')],
  ['leave-spot', leaveAtShortNotice],
  ['release-server', replaceServer],
  ['gone-server', crashForGood({ refuses: true })],
  ['gone-dark-server', crashForGood({ unresponsive: true })],
  ['cut-zone-from-server', cutZone],
]);
