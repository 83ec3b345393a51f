/** What scenarios do to a fleet. */
import { z } from 'zod';
import type { Machine } from './fleet.js';
import type { ScenarioRun } from './run.js';

/** A failure on a real fleet, and the rules that it must put to the proof. */
export interface Scenario {
  /** One line for people. */
  readonly about: string;
  /** Whether connections go through a relay that can cut them. */
  readonly withRelay: boolean;
  readonly seconds: number;
  /** Parts of the names of rules that must have been checked. */
  readonly requiredRules?: readonly string[];
  /** Whether no operator changes the configuration meanwhile. */
  readonly keepsConfig?: boolean;
  run(run: ScenarioRun): Promise<void>;
}

/** Waits for real time, in ms. */
export const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/** Kills, freezes or wipes a machine of a kind, for controls the master and another one, and brings it back. */
export const disturbEach =
  (kind: Machine['kind'], how: 'kill' | 'freeze' | 'wipe') =>
  async (run: ScenarioRun): Promise<void> => {
    await wait(1500);
    const targets =
      kind === 'control'
        ? [await run.fleet.master(), run.pick(run.fleet.machinesOf(kind))]
        : [run.pick(run.fleet.machinesOf(kind))];
    for (const m of targets) {
      if (!m) continue;
      run.note(`${how} ${m.kind}-${m.n}`);
      if (how === 'freeze') for (const p of m.processes) p.freeze();
      else await run.fleet.stop([m]);
      if (how === 'wipe') for (const p of m.processes) p.wipe();
      await wait(how === 'freeze' ? 6000 : 4000);
      if (how === 'freeze') for (const p of m.processes) p.resume();
      else run.fleet.start([m]);
      run.note(`back ${m.kind}-${m.n}`);
      await wait(4000);
    }
  };

/** Cuts machines off from all others for a time. */
export const isolate = async (
  run: ScenarioRun,
  mine: readonly Machine[],
  ms: number,
): Promise<void> => {
  const { fleet } = run;
  const all = [
    ...fleet.machinesOf('control'),
    ...fleet.machinesOf('store'),
    ...fleet.machinesOf('front'),
  ];
  for (const a of mine)
    for (const b of all) {
      if (mine.includes(b)) continue;
      for (const x of [a.addr, ...a.extraAddrs])
        for (const y of [b.addr, ...b.extraAddrs]) fleet.relay.cutBoth(x, y);
    }
  run.note(`cut ${mine.map((m) => `${m.kind}-${m.n}`).join(' ')} for ${ms} ms`);
  await wait(ms);
  fleet.relay.removeCuts();
  run.note('healed');
  await wait(4000);
};

/** A new machine takes the place of one that is lost for good. */
export const replaceMachine = async (run: ScenarioRun, m: Machine): Promise<Machine> => {
  const fresh = await run.fleet.add(m.kind);
  await run.fleet.remove(m);
  run.fleet.start([fresh]);
  run.note(`replaced ${m.kind}-${m.n} by ${fresh.kind}-${fresh.n}`);
  return fresh;
};

const JoiningReplicas = z.object({
  nodes: z.array(z.object({ id: z.string(), addr: z.string() })),
  stores: z.array(z.object({ store: z.string(), slotsHeld: z.number() })),
  slots: z.object({ count: z.number(), joiningReplicas: z.number() }),
});

/** Whether every store has every slot. */
export const allStoresFilled = async (run: ScenarioRun): Promise<boolean> => {
  const got = JoiningReplicas.safeParse(
    (await run.fleet.operator.request('GET', '/v1/status')).body,
  );
  if (!got.success) return false;
  const { nodes, stores, slots } = got.data;
  const holds = (addr: string): boolean => {
    const id = nodes.find((n) => n.addr === addr)?.id;
    return stores.find((s) => s.store === id)?.slotsHeld === slots.count;
  };
  return slots.joiningReplicas === 0 && run.fleet.machinesOf('store').every((m) => holds(m.addr));
};

/** Stops everything at once and starts it again. */
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

/** The model servers that have executed something. */
export const usedModelServers = (run: ScenarioRun): ScenarioRun['fleet']['models'] => {
  const used = new Set(run.fleet.executions.all().map((r) => r.server));
  return run.fleet.models.filter((m) => used.has(m.options.id));
};

/** Marks a server as draining; returns when the accepted request was sent. */
export const markDraining = async (run: ScenarioRun, id: string): Promise<number> => {
  for (let n = 0; n < 5; n++) {
    const at = Date.now();
    const mark = await run.fleet.operator.request('POST', `/v1/servers/${id}/draining`);
    run.note(`draining ${id}: ${mark.status}`);
    if (mark.status === 200) return at;
  }
  throw new Error('the mark was not accepted');
};

/** Servers are marked, stopped and registered again, one after another. */
export const replaceServers = async (run: ScenarioRun): Promise<void> => {
  await wait(1500);
  const { fleet } = run;
  for (const s of [...fleet.models.slice(0, 3), ...fleet.services.slice(0, 2)]) {
    const at = await markDraining(run, s.options.id);
    await wait(5000);
    run.drainings.push({ server: s.options.id, at, until: Date.now() });
    await s.stop();
    await s.start();
    await fleet.registerOne(s.options.id, s.options.pool, s.options.addr);
  }
};

/** A server reports itself as draining for a time. */
export const reportDraining = async (run: ScenarioRun): Promise<void> => {
  await wait(2000);
  const s = run.pick(usedModelServers(run));
  s.set({ draining: true });
  const at = Date.now();
  await wait(6000);
  run.drainings.push({ server: s.options.id, at, until: Date.now() });
  s.set({ draining: false });
};
