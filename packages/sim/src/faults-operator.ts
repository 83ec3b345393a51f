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
          await c.storm.wait(100 + c.rng() * 900);
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

const pileUp: Fault = (c) => {
  c.storm.track(c.storm.pileUp(60));
  return '60 urgent calls';
};

/** Most answers to operators are lost for a time, and the changes sent again, to other machines first. */
const loseAnswers: Fault = (c) => {
  c.storm.lostAnswers.share = 0.7;
  c.storm.track(c.storm.reconfigure());
  c.tools.after(c.span, () => {
    c.storm.lostAnswers.share = 0;
  });
  return 'operators';
};

type Strike = (c: FaultContext, m: Machine) => void;

const powerOff: Strike = (c, m) => c.tools.killFor(m, 'power', c.span);
const processKilled: Strike = (c, m) => c.tools.killFor(m, 'process', c.span);
const diskLost: Strike = (c, m) => {
  if (m.kind !== 'front') c.tools.losesDisk(() => c.tools.wipe(m, c.span));
};

/** The machine that took a change is struck right after it was acknowledged, or at a time after it was sent. */
const atChange =
  (strike: Strike, when: 'acknowledged' | 'timed'): Fault =>
  (c) => {
    const { storm, tools } = c;
    if (storm.onChange || tools.diskBusy) return '';
    const hit = (m: Machine): void => {
      if (m.up && !tools.diskBusy) strike(c, m);
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
const meetReturn =
  (changes: number): Fault =>
  (c) => {
    const m = c.tools.target(c, 'control');
    if (!m) return '';
    m.kill();
    c.tools.after(Math.min(c.span, 2000), () => {
      c.tools.restart(m);
      c.storm.track(
        (async () => {
          for (let n = 0; n < 20 && !m.control; n++) await c.storm.wait(5);
          await Promise.all(Array.from({ length: changes }, () => c.storm.reconfigure(1, m)));
        })(),
      );
    });
    return m.addr;
  };

/** A control that is cut off gets changes during the cut. */
const meetCut =
  (changes: number): Fault =>
  (c) => {
    const m = c.tools.target(c, 'control');
    if (!m) return '';
    c.tools.isolate([m], c.span);
    c.storm.track(
      (async () => {
        await c.storm.wait(c.rng() * c.span);
        await Promise.all(Array.from({ length: changes }, () => c.storm.reconfigure(1, m)));
      })(),
    );
    return m.addr;
  };

/** Soon after a control is back, a server leaves. */
const leaveAtReturn: Fault = (c) => {
  const m = c.tools.target(c, 'control');
  if (!m) return '';
  m.kill();
  c.tools.after(Math.min(c.span, 2000), () => {
    c.tools.restart(m);
    c.storm.leave(c.server);
  });
  return m.addr;
};

export const operatorFaults: FaultTable = new Map<string, Fault>([
  ['config', repeated(1, (c) => c.storm.reconfigure())],
  ['many-configs', repeated(8, (c) => c.storm.reconfigure())],
  ['grow', repeated(1, (c) => c.storm.reconfigure(150))],
  ['bad-config', repeated(3, (c) => c.storm.badConfig(Math.floor(c.rng() * 1000)))],
  ['race', race],
  ['crowd', crowd],
  ['pile-up', pileUp],
  ['lose-operator-answers', loseAnswers],
  ['meet-return', meetReturn(1)],
  ['meet-return-race', meetReturn(2)],
  ['meet-cut', meetCut(1)],
  ['meet-cut-race', meetCut(2)],
  ['leave-at-return', leaveAtReturn],
  ['power-on-change', atChange(powerOff, 'acknowledged')],
  ['kill-on-change', atChange(processKilled, 'acknowledged')],
  ['wipe-on-change', atChange(diskLost, 'acknowledged')],
  ['power-timed', atChange(powerOff, 'timed')],
  ['wipe-timed', atChange(diskLost, 'timed')],
]);
