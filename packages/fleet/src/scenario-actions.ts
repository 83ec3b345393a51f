/** The scenario interface, and the actions on a fleet that scenarios share. */
import { z } from 'zod';
import type { Machine } from './fleet.js';
import type { ScenarioRun } from './run.js';

/** A failure or operation on a real fleet, and the rules that its run must check. */
export interface Scenario {
  /** A one-line description, shown to users. */
  readonly about: string;
  /** Whether connections go through a relay that can cut them. */
  readonly withRelay: boolean;
  /** How long callers send requests by default. */
  readonly seconds: number;
  /** Parts of rule names; for each, a matching rule must have checked at least one record. */
  readonly requiredRules?: readonly string[];
  /** Whether no operator changes the configuration during the scenario. */
  readonly keepsConfig?: boolean;
  /** Carries out the scenario while callers send requests. */
  run(run: ScenarioRun): Promise<void>;
}

/** Waits for so many ms of real time. */
export const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/**
 * Kills, freezes or wipes one random machine of a kind and starts or resumes it again after a few seconds. For controls
 * it does so with the master and then with a random control.
 */
export const disturbEach =
  (kind: Machine['kind'], how: 'kill' | 'freeze' | 'wipe') =>
  async (run: ScenarioRun): Promise<void> => {
    await wait(1500);
    const targets =
      kind === 'control'
        ? [await run.fleet.master(), run.pick(run.fleet.machinesOf(kind))]
        : [run.pick(run.fleet.machinesOf(kind))];
    for (const machine of targets) {
      if (!machine) continue;
      run.note(`${how} ${machine.kind}-${machine.n}`);
      if (how === 'freeze') for (const process of machine.processes) process.freeze();
      else await run.fleet.stop([machine]);
      if (how === 'wipe') for (const process of machine.processes) process.wipe();
      await wait(how === 'freeze' ? 6000 : 4000);
      if (how === 'freeze') for (const process of machine.processes) process.resume();
      else run.fleet.start([machine]);
      run.note(`restored ${machine.kind}-${machine.n}`);
      await wait(4000);
    }
  };

/** Cuts the network between these machines and all others for `ms` ms, and waits 4 s after it is restored. */
export const isolate = async (
  run: ScenarioRun,
  isolated: readonly Machine[],
  ms: number,
): Promise<void> => {
  const { fleet } = run;
  const machines = [
    ...fleet.machinesOf('control'),
    ...fleet.machinesOf('store'),
    ...fleet.machinesOf('front'),
  ];
  for (const machine of isolated)
    for (const other of machines) {
      if (isolated.includes(other)) continue;
      for (const addr of [machine.addr, ...machine.extraAddrs])
        for (const otherAddr of [other.addr, ...other.extraAddrs])
          fleet.relay.cutBoth(addr, otherAddr);
    }
  run.note(
    `isolated ${isolated.map((machine) => `${machine.kind}-${machine.n}`).join(' ')} for ${ms} ms`,
  );
  await wait(ms);
  fleet.relay.removeCuts();
  run.note('healed');
  await wait(4000);
};

/** Removes a machine for good and starts an empty one of the same kind in its place. */
export const replaceMachine = async (run: ScenarioRun, machine: Machine): Promise<Machine> => {
  const replacement = await run.fleet.add(machine.kind);
  await run.fleet.remove(machine);
  run.fleet.start([replacement]);
  run.note(`replaced ${machine.kind}-${machine.n} by ${replacement.kind}-${replacement.n}`);
  return replacement;
};

/** The parts of a control's status that tell which slots each store holds. */
const ReplicaStatus = z.object({
  nodes: z.array(z.object({ id: z.string(), addr: z.string() })),
  stores: z.array(z.object({ store: z.string(), slotsHeld: z.number() })),
  slots: z.object({ count: z.number(), joiningReplicas: z.number() }),
});

/** Whether every store holds every slot and no replica is being filled; false if no control reports its status. */
export const allStoresFilled = async (run: ScenarioRun): Promise<boolean> => {
  const status = ReplicaStatus.safeParse(
    (await run.fleet.operator.request('GET', '/v1/status')).body,
  );
  if (!status.success) return false;
  const { nodes, stores, slots } = status.data;
  const isFull = (addr: string): boolean => {
    const id = nodes.find((node) => node.addr === addr)?.id;
    return stores.find((entry) => entry.store === id)?.slotsHeld === slots.count;
  };
  return slots.joiningReplicas === 0 && run.fleet.machinesOf('store').every((m) => isFull(m.addr));
};

/** Kills all machines at once, starts them again, and records the restart. */
export const restartAll = async (run: ScenarioRun): Promise<void> => {
  await run.readConfigVersion();
  const configBefore = run.version;
  const stoppedAt = Date.now();
  await run.fleet.stop();
  const startedAt = Date.now();
  const kinds = ['control', 'store', 'front'] as const;
  run.fleet.start(kinds.flatMap((kind) => run.fleet.machinesOf(kind)));
  await run.serving(30000);
  const servedAt = Date.now();
  const after = await run.fleet.operator.config();
  run.restarts.push({
    stoppedAt,
    startedAt,
    servedAt,
    configBefore,
    configAfter: after?.version ?? 0,
  });
  run.note(`serving again after ${servedAt - startedAt} ms`);
};

/** The model servers that have executed at least one request. */
export const usedModelServers = (run: ScenarioRun): ScenarioRun['fleet']['models'] => {
  const usedIds = new Set(run.fleet.executions.all().map((record) => record.server));
  return run.fleet.models.filter((server) => usedIds.has(server.options.id));
};

/**
 * Marks a server as draining, in at most five attempts; returns when the accepted request was sent (ms since the
 * epoch).
 */
export const markDraining = async (run: ScenarioRun, id: string): Promise<number> => {
  for (let attempt = 0; attempt < 5; attempt++) {
    const sentAt = Date.now();
    const reply = await run.fleet.operator.request('POST', `/v1/servers/${id}/draining`);
    run.note(`draining mark for server ${id}: status ${reply.status}`);
    if (reply.status === 200) return sentAt;
  }
  throw new Error(`server ${id} was not marked draining: 5 requests were not accepted`);
};

/** Marks five servers as draining, restarts and registers them again, one after another. */
export const replaceServers = async (run: ScenarioRun): Promise<void> => {
  await wait(1500);
  const { fleet } = run;
  for (const server of [...fleet.models.slice(0, 3), ...fleet.services.slice(0, 2)]) {
    const markedAt = await markDraining(run, server.options.id);
    await wait(5000);
    run.drainings.push({ server: server.options.id, at: markedAt, until: Date.now() });
    await server.stop();
    await server.start();
    await fleet.registerOne(server.options.id, server.options.pool, server.options.addr);
  }
};

/** Lets a server report by itself that it is draining, for 6 s. */
export const reportDraining = async (run: ScenarioRun): Promise<void> => {
  await wait(2000);
  const server = run.pick(usedModelServers(run));
  server.set({ draining: true });
  const reportedAt = Date.now();
  await wait(6000);
  run.drainings.push({ server: server.options.id, at: reportedAt, until: Date.now() });
  server.set({ draining: false });
};
