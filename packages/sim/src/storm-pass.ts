/** The callers of a storm on pass routes. */
import type { PassRecord } from '@tillerstair/checker';
import { passAt, type PassSpec } from './pass.js';
import type { Storm } from './storm.js';

const allBytes = Array.from({ length: 256 }, (_, i) => String.fromCharCode(i)).join('');
const tries = 3;

/** Sends a request again, as a new try each time, until it is done or would be run again. */
const persist = async (
  s: Storm,
  spec: PassSpec,
  twins: number,
): Promise<PassRecord | undefined> => {
  for (let k = 0; k < tries; k++) {
    if (s.world.rng() < twins) s.trackPass(passAt(s.world, spec));
    const reported = await passAt(s.world, spec);
    if (reported.reported === 'done') return reported;
    if (reported.status === 402) return undefined;
    await s.delay(100 + s.world.rng() * 900);
  }
  return undefined;
};

const later = async (s: Storm, spec: PassSpec): Promise<void> => {
  await s.delay(s.world.rng() * 50000);
  await passAt(s.world, spec);
};

/** What a program does on pass routes: turns that go on from one another, branches and helpers, and calls between them. */
export const passChat = async (s: Storm, n: number): Promise<void> => {
  const { world: w } = s;
  const program = `y${n}`;
  const budget = n % 3 === 0 ? 30 : 200;
  const turn: PassSpec = { path: '/turn/x', program, budget, most: 10 };
  let after = '';
  for (let i = 0; i < 3; i++) {
    const reported = await persist(
      s,
      { ...turn, after, body: `${n}-${i} ${i === 1 ? allBytes : ''}` },
      0.1,
    );
    if (reported) {
      if (w.rng() < 0.2)
        s.trackPass(passAt(w, { ...turn, after: reported.attempt, body: 'branch' }));
      if (w.rng() < 0.2)
        s.trackPass(
          passAt(w, { ...turn, program: `${program}h`, after: reported.attempt, body: 'helper' }),
        );
      if (w.rng() < 0.2)
        s.trackPass(
          later(s, { ...turn, program: `${program}l`, after: reported.attempt, body: 'later' }),
        );
      after = reported.attempt;
    }
    await Promise.all([
      persist(s, { path: '/keyed/x', key: `q${n}-${i}`, body: `${n}-${i}` }, 0.3),
      persist(s, { path: '/live/x', body: `${n}-${i}` }, 0),
      ...(w.rng() < 0.5
        ? [
            passAt(w, { path: '/once/x', body: `${n}-${i}` }),
            passAt(w, { path: '/again/x', body: `${n}-${i}` }),
          ]
        : []),
      ...(w.rng() < 0.3 ? [passAt(w, { path: '/flow/x', body: `${n}-${i}` })] : []),
    ]);
  }
};
