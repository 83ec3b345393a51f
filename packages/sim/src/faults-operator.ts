/**
 * Storm faults around operators and callers: concurrent and invalid configuration changes, bursts of calls, lost
 * answers, and machine failures during a change.
 */
import type { Machine } from './machine.js';
import type { Fault, FaultContext, FaultTable } from './storm-fault.js';

/** Runs work several times, with pauses of 100 to 1000 ms. */
const repeated =
  (count: number, run: (context: FaultContext) => Promise<void>): Fault =>
  (context) => {
    context.storm.track(
      (async () => {
        for (let i = 0; i < count; i++) {
          await run(context);
          await context.storm.delay(100 + context.rng() * 900);
        }
      })(),
    );
    return `${count}`;
  };

const concurrentChanges: Fault = (context) => {
  context.storm.track(Promise.all([context.storm.reconfigure(), context.storm.reconfigure()]));
  return 'two';
};

const burstOfChats: Fault = (context) => {
  const chats = 30;
  for (let i = 0; i < chats; i++) context.storm.beginChat();
  return `${chats} chats`;
};

const urgentCalls: Fault = (context) => {
  context.storm.track(context.storm.sendUrgentCalls(60));
  return '60 urgent calls';
};

/** For the duration, 70 percent of the answers to operators are lost; their changes are resent to other controls. */
const loseOperatorAnswers: Fault = (context) => {
  context.storm.lostAnswers.share = 0.7;
  context.storm.track(context.storm.reconfigure());
  context.tools.after(context.durationMs, () => {
    context.storm.lostAnswers.share = 0;
  });
  return 'operators';
};

/** Causes a fault of one machine. */
type MachineFault = (context: FaultContext, machine: Machine) => void;

const powerOff: MachineFault = (context, machine) =>
  context.tools.killFor(machine, 'power', context.durationMs);
const killProcess: MachineFault = (context, machine) =>
  context.tools.killFor(machine, 'process', context.durationMs);
const loseDisk: MachineFault = (context, machine) => {
  if (machine.kind !== 'front')
    context.tools.runDiskLoss(() => context.tools.wipe(machine, context.durationMs));
};

/**
 * Causes a fault at the control that an operator sent a change to: within 4 ms of the acknowledgement, or 5 to 400 ms
 * after the change was sent.
 */
const atChange =
  (causeFault: MachineFault, timing: 'acknowledged' | 'timed'): Fault =>
  (context) => {
    const { storm, tools } = context;
    if (storm.onChange || tools.isDiskLost) return '';
    const causeIfUp = (machine: Machine): void => {
      if (machine.up && !tools.isDiskLost) causeFault(context, machine);
    };
    storm.onChange = (machine, answered) => {
      storm.onChange = undefined;
      if (!machine) return;
      if (timing === 'timed') {
        tools.after(5 + context.rng() * 395, () => causeIfUp(machine));
        return;
      }
      void answered.then((response) => {
        if (response?.status === 200) tools.after(context.rng() * 4, () => causeIfUp(machine));
      });
    };
    storm.track(storm.reconfigure());
    return timing;
  };

/** A killed control is sent changes as soon as it has restarted. */
const changeAtReturn =
  (changes: number): Fault =>
  (context) => {
    const machine = context.tools.target(context, 'control');
    if (!machine) return '';
    machine.kill();
    context.tools.after(Math.min(context.durationMs, 2000), () => {
      context.tools.restart(machine);
      context.storm.track(
        (async () => {
          for (let attempt = 0; attempt < 20 && !machine.control; attempt++)
            await context.storm.delay(5);
          await Promise.all(
            Array.from({ length: changes }, () => context.storm.reconfigure(1, machine)),
          );
        })(),
      );
    });
    return machine.addr;
  };

/** A control that is cut off is sent changes at a random time during the partition. */
const changeDuringCut =
  (changes: number): Fault =>
  (context) => {
    const machine = context.tools.target(context, 'control');
    if (!machine) return '';
    context.tools.isolate([machine], context.durationMs);
    context.storm.track(
      (async () => {
        await context.storm.delay(context.rng() * context.durationMs);
        await Promise.all(
          Array.from({ length: changes }, () => context.storm.reconfigure(1, machine)),
        );
      })(),
    );
    return machine.addr;
  };

/** A server is drained as soon as a killed control is restarted. */
const drainAtReturn: Fault = (context) => {
  const machine = context.tools.target(context, 'control');
  if (!machine) return '';
  machine.kill();
  context.tools.after(Math.min(context.durationMs, 2000), () => {
    context.tools.restart(machine);
    context.storm.drainServer(context.server);
  });
  return machine.addr;
};

/** The faults around operators and callers, by the names that plans use. */
export const operatorFaults: FaultTable = new Map<string, Fault>([
  ['config', repeated(1, (context) => context.storm.reconfigure())],
  ['many-configs', repeated(8, (context) => context.storm.reconfigure())],
  ['grow', repeated(1, (context) => context.storm.reconfigure(150))],
  [
    'bad-config',
    repeated(3, (context) => context.storm.sendInvalidConfig(Math.floor(context.rng() * 1000))),
  ],
  ['race', concurrentChanges],
  ['crowd', burstOfChats],
  ['pile-up', urgentCalls],
  ['lose-operator-answers', loseOperatorAnswers],
  ['meet-return', changeAtReturn(1)],
  ['meet-return-race', changeAtReturn(2)],
  ['meet-cut', changeDuringCut(1)],
  ['meet-cut-race', changeDuringCut(2)],
  ['leave-at-return', drainAtReturn],
  ['power-on-change', atChange(powerOff, 'acknowledged')],
  ['kill-on-change', atChange(killProcess, 'acknowledged')],
  ['wipe-on-change', atChange(loseDisk, 'acknowledged')],
  ['power-timed', atChange(powerOff, 'timed')],
  ['wipe-timed', atChange(loseDisk, 'timed')],
]);
