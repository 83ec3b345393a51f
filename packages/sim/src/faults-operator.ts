/** What operators and callers do to a system: changes, races, bad ones, crowds; answers lost; losses at a change. */
import type { Machine } from './machine.js';
import type { Fault, FaultContext, FaultTable } from './storm-fault.js';

const repeated =
  (n: number, run: (c: FaultContext) => Promise<void>): Fault =>
  (c) => {
    c.storm.track(
      (async () => {
        for (let i = 0; i < n; i++) {
          await run(c);
          await c.storm.delay(100 + c.rng() * 900);
        }
      })(),
    );
    return `${n}`;
  };

const race: Fault = (c) => {
  c.storm.track(Promise.all([c.storm.reconfigure(), c.storm.reconfigure()]));
  return 'two';
};

const crowd: Fault = (c) => {
  const chats = 30;
  for (let i = 0; i < chats; i++) c.storm.beginChat();
  return `${chats} chats`;
};

const urgentCalls: Fault = (c) => {
  c.storm.track(c.storm.sendUrgentCalls(60));
  return '60 urgent calls';
};

/** Most answers to operators are lost for a time, and the changes sent again, to other machines first. */
const loseAnswers: Fault = (c) => {
  c.storm.lostAnswers.share = 0.7;
  c.storm.track(c.storm.reconfigure());
  c.tools.after(c.durationMs, () => {
    c.storm.lostAnswers.share = 0;
  });
  return 'operators';
};

type Strike = (c: FaultContext, m: Machine) => void;

const powerOff: Strike = (c, m) => c.tools.killFor(m, 'power', c.durationMs);
const processKilled: Strike = (c, m) => c.tools.killFor(m, 'process', c.durationMs);
const diskLost: Strike = (c, m) => {
  if (m.kind !== 'front') c.tools.runDiskLoss(() => c.tools.wipe(m, c.durationMs));
};

/** The machine that took a change is struck right after it was acknowledged, or at a time after it was sent. */
const atChange =
  (strike: Strike, when: 'acknowledged' | 'timed'): Fault =>
  (c) => {
    const { storm, tools } = c;
    if (storm.onChange || tools.isDiskLost) return '';
    const hit = (m: Machine): void => {
      if (m.up && !tools.isDiskLost) strike(c, m);
    };
    storm.onChange = (m, answered) => {
      storm.onChange = undefined;
      if (!m) return;
      if (when === 'timed') {
        tools.after(5 + c.rng() * 395, () => hit(m));
        return;
      }
      void answered.then((r) => {
        if (r?.status === 200) tools.after(c.rng() * 4, () => hit(m));
      });
    };
    storm.track(storm.reconfigure());
    return when;
  };

/** A control that was killed gets a change as soon as it is back, again and again until it answers. */
const changeAtReturn =
  (changes: number): Fault =>
  (c) => {
    const m = c.tools.target(c, 'control');
    if (!m) return '';
    m.kill();
    c.tools.after(Math.min(c.durationMs, 2000), () => {
      c.tools.restart(m);
      c.storm.track(
        (async () => {
          for (let n = 0; n < 20 && !m.control; n++) await c.storm.delay(5);
          await Promise.all(Array.from({ length: changes }, () => c.storm.reconfigure(1, m)));
        })(),
      );
    });
    return m.addr;
  };

/** A control that is cut off gets changes during the cut. */
const changeDuringCut =
  (changes: number): Fault =>
  (c) => {
    const m = c.tools.target(c, 'control');
    if (!m) return '';
    c.tools.isolate([m], c.durationMs);
    c.storm.track(
      (async () => {
        await c.storm.delay(c.rng() * c.durationMs);
        await Promise.all(Array.from({ length: changes }, () => c.storm.reconfigure(1, m)));
      })(),
    );
    return m.addr;
  };

/** Soon after a control is back, a server leaves. */
const drainAtReturn: Fault = (c) => {
  const m = c.tools.target(c, 'control');
  if (!m) return '';
  m.kill();
  c.tools.after(Math.min(c.durationMs, 2000), () => {
    c.tools.restart(m);
    c.storm.drainServer(c.server);
  });
  return m.addr;
};

/** These faults by name. */
export const operatorFaults: FaultTable = new Map<string, Fault>([
  ['config', repeated(1, (c) => c.storm.reconfigure())],
  ['many-configs', repeated(8, (c) => c.storm.reconfigure())],
  ['grow', repeated(1, (c) => c.storm.reconfigure(150))],
  ['bad-config', repeated(3, (c) => c.storm.sendInvalidConfig(Math.floor(c.rng() * 1000)))],
  ['race', race],
  ['crowd', crowd],
  ['pile-up', urgentCalls],
  ['lose-operator-answers', loseAnswers],
  ['meet-return', changeAtReturn(1)],
  ['meet-return-race', changeAtReturn(2)],
  ['meet-cut', changeDuringCut(1)],
  ['meet-cut-race', changeDuringCut(2)],
  ['leave-at-return', drainAtReturn],
  ['power-on-change', atChange(powerOff, 'acknowledged')],
  ['kill-on-change', atChange(processKilled, 'acknowledged')],
  ['wipe-on-change', atChange(diskLost, 'acknowledged')],
  ['power-timed', atChange(powerOff, 'timed')],
  ['wipe-timed', atChange(diskLost, 'timed')],
]);
