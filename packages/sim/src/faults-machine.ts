/** Machine and process faults of storms: kills, power losses, freezes, slow machines and rolling restarts. */
import { opKeyOf } from '@tillerstair/session-owner';
import { rootProgramId, slotForKey } from '@tillerstair/state';
import type { Machine } from './machine.js';
import {
  pickRandom,
  type Fault,
  type FaultContext,
  type FaultTable,
  type MachineKind,
} from './storm-fault.js';

const kinds: readonly MachineKind[] = ['control', 'store', 'front'];

/** While the disk of a machine is lost, stores must stay up: another loss would exceed what the cluster withstands. */
const mustStayUp = (context: FaultContext, kind: MachineKind): boolean =>
  kind === 'store' && context.tools.isDiskLost;

const kill =
  (kind: MachineKind, how: 'process' | 'power'): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine || mustStayUp(context, kind)) return '';
    context.tools.killFor(machine, how, context.durationMs);
    return machine.addr;
  };

const freeze =
  (kind: MachineKind): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine || mustStayUp(context, kind)) return '';
    machine.freeze();
    context.tools.after(context.durationMs, () => {
      if (machine.up) machine.wake();
    });
    return machine.addr;
  };

/** Added to the latency of each message of a slow machine. */
const addedLatencyMs = 40;

/** One machine is slow: messages that it sends or receives take longer. */
const slowDown =
  (kind: MachineKind): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine) return '';
    const { net } = context.world;
    const previousLatency = net.extraLatency;
    const belongsToMachine = (addr: string): boolean => addr.split('/')[0] === machine.addr;
    const slowedLatency = (from: string, to: string): number =>
      previousLatency(from, to) +
      (belongsToMachine(from) || belongsToMachine(to) ? addedLatencyMs : 0);
    net.extraLatency = slowedLatency;
    context.tools.after(context.durationMs, () => {
      if (net.extraLatency === slowedLatency) net.extraLatency = previousLatency;
    });
    return machine.addr;
  };

/** Stops a machine gracefully; kills it if it is still up after six heartbeat intervals. */
const stopGracefully = async (context: FaultContext, machine: Machine): Promise<void> => {
  const stopped = machine.stopGracefully().catch(() => undefined);
  await Promise.race([stopped, context.storm.delay(6 * context.world.bounds.heartbeatInterval)]);
  if (machine.up) machine.kill();
};

/** Stops all machines of a kind gracefully and restarts them, one after the other. */
const rollingRestart =
  (kind: MachineKind): Fault =>
  (context) => {
    const machines = [...context.world.of(kind)];
    const work = async (): Promise<void> => {
      for (const machine of machines) {
        if (!machine.up || machine.incarnation.frozen) continue;
        await stopGracefully(context, machine);
        await context.storm.delay(100 + context.rng() * 900);
        context.tools.restart(machine);
        await context.storm.delay(2 * context.world.bounds.failureTimeout);
      }
    };
    if (kind !== 'front') return context.tools.runDiskLoss(work);
    context.storm.track(work());
    return machines.map((machine) => machine.addr).join(' ');
  };

/** Kills at least 60 percent of the machines of a kind at once. */
const killMost =
  (kind: MachineKind, how: 'process' | 'power'): Fault =>
  (context) => {
    if (mustStayUp(context, kind)) return '';
    const machines = context.tools.up(kind);
    const killed = machines.slice(0, Math.ceil(machines.length * 0.6));
    for (const machine of killed) context.tools.killFor(machine, how, context.durationMs);
    return killed.map((machine) => machine.addr).join(' ');
  };

/** Kills all controls and stores at once and restarts them; fronts stay up. */
const coreDown =
  (how: 'process' | 'power'): Fault =>
  (context) => {
    if (context.tools.isDiskLost) return '';
    for (const machine of [...context.world.of('control'), ...context.world.of('store')]) {
      machine.kill(how);
      context.tools.after(Math.min(context.durationMs, 1000) * (0.5 + context.rng() / 2), () =>
        context.tools.restart(machine),
      );
    }
    return 'controls and stores';
  };

/**
 * Cuts the power right after a caller got its reply: of the slot's owner and of replicas picked at random, or, with
 * `wholeCore`, of all controls and stores.
 */
const powerLossAfterReply =
  (wholeCore: boolean): Fault =>
  (context) => {
    const { tools, storm, world } = context;
    if (tools.armed || tools.isDiskLost) return '';
    tools.armed = true;
    storm.onDone = (reply) => {
      storm.onDone = undefined;
      tools.armed = false;
      if (tools.isDiskLost) return;
      const state = world.committed;
      const key =
        reply.kind === 'call'
          ? opKeyOf(reply.tenant, reply.key)
          : `p/${rootProgramId(reply.program)}`;
      const slot = state?.slots[slotForKey(key, state.slots.length)];
      const storesReply = (machine: Machine): boolean =>
        machine.front?.id === slot?.owner ||
        machine.store?.id === slot?.replicas[Math.floor(context.rng() * 3)];
      const killed = world.machines.filter(
        (machine) => machine.up && (wholeCore ? machine.kind !== 'front' : storesReply(machine)),
      );
      for (const machine of killed) machine.kill('power');
      tools.after(500 + context.rng() * 3000, () =>
        killed.forEach((machine) => tools.restart(machine)),
      );
    };
    return 'armed';
  };

const frontProcess =
  (action: 'kill' | 'freeze' | 'agent'): Fault =>
  (context) => {
    const machine = pickRandom(context.rng, context.tools.up('front'));
    if (!machine) return '';
    if (action === 'freeze') {
      machine.proxyIncarnation.frozen = true;
      context.tools.after(context.durationMs, () => machine.proxyIncarnation.wake());
    } else if (action === 'kill') {
      machine.killProxy();
      context.tools.after(context.durationMs, () => {
        if (machine.up && !machine.front) machine.restartProxy();
      });
    } else {
      machine.killAgent();
      context.tools.after(context.durationMs, () => {
        if (machine.up && !machine.agent) machine.restartAgent();
      });
    }
    return machine.addr;
  };

/** Kills all machines at once and restarts them. */
const restartAll =
  (how: 'process' | 'power'): Fault =>
  async (context) => {
    if (context.tools.isDiskLost) return '';
    await context.storm.restartAll(how);
    return 'all';
  };

/** The machine faults, by the names that plans use. */
export const machineFaults: FaultTable = new Map<string, Fault>([
  ...kinds.flatMap((kind): [string, Fault][] => [
    [`kill-${kind}`, kill(kind, 'process')],
    [`power-${kind}`, kill(kind, 'power')],
    [`freeze-${kind}`, freeze(kind)],
    [`sluggish-${kind}`, slowDown(kind)],
    [`roll-${kind}`, rollingRestart(kind)],
  ]),
  ['herd-kill-front', killMost('front', 'process')],
  ['herd-power-front', killMost('front', 'power')],
  ['core-killed', coreDown('process')],
  ['core-power', coreDown('power')],
  ['power-on-ack', powerLossAfterReply(false)],
  ['core-power-on-ack', powerLossAfterReply(true)],
  ['kill-proxy', frontProcess('kill')],
  ['freeze-proxy', frontProcess('freeze')],
  ['kill-agent', frontProcess('agent')],
  ['all-down', restartAll('power')],
  ['all-killed', restartAll('process')],
]);
