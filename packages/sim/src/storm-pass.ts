/** The callers of a storm that use pass routes. */
import type { PassRecord } from '@tillerstair/checker';
import { passAt, type PassSpec } from './pass.js';
import type { Storm } from './storm.js';

const allBytes = Array.from({ length: 256 }, (_, i) => String.fromCharCode(i)).join('');
const maxAttempts = 3;
const budgetSpent = 402;
/** A path of the route that always leads to both services that record keys. */
const splitPath = '/own/x';
/** A path of the route that moves between these services. */
const movedPath = '/moved/x';

/**
 * Sends a request until it succeeds, at most three times, or until the budget is spent (402); a share of the attempts
 * is sent twice. Returns the successful reply.
 */
const sendUntilDone = async (
  storm: Storm,
  spec: PassSpec,
  duplicateShare: number,
): Promise<PassRecord | undefined> => {
  const reply = await sendUntilFinal(storm, spec, duplicateShare);
  return reply.reported === 'done' ? reply : undefined;
};

/** Like `sendUntilDone`, but returns the last reply whatever it is. */
const sendUntilFinal = async (
  storm: Storm,
  spec: PassSpec,
  duplicateShare: number,
): Promise<PassRecord> => {
  for (let attempt = 1; ; attempt++) {
    if (storm.world.rng() < duplicateShare) storm.trackPass(passAt(storm.world, spec));
    const reply = await passAt(storm.world, spec);
    const isFinal = reply.reported === 'done' || reply.status === budgetSpent;
    if (isFinal || attempt === maxAttempts) return reply;
    await storm.delay(100 + storm.world.rng() * 900);
  }
};

/**
 * Sends each key of a route that always leads to its services once more, unless it has its answer. Returns the last
 * attempt with each of these keys.
 */
export const askUnansweredKeys = async (storm: Storm): Promise<readonly string[]> => {
  const keyed = storm.world.passes.filter(({ path }) => path === splitPath);
  const answered = new Set(
    keyed.flatMap(({ key, reported }) => (reported === 'done' ? [key] : [])),
  );
  const unanswered = new Map(
    keyed.flatMap(({ key, input }) => (answered.has(key) ? [] : [[key, input] as const])),
  );
  const replies = await Promise.all(
    [...unanswered].map(([key, body]) => sendUntilFinal(storm, { path: splitPath, key, body }, 0)),
  );
  return replies.map(({ attempt }) => attempt);
};

/** Sends a request once, after at most 50 s. */
const sendLater = async (storm: Storm, spec: PassSpec): Promise<void> => {
  await storm.delay(storm.world.rng() * 50000);
  await passAt(storm.world, spec);
};

/** One program on pass routes: three turns that continue one another, with branches, helper programs, and calls. */
export const passChat = async (storm: Storm, chatNumber: number): Promise<void> => {
  const { world } = storm;
  const program = `y${chatNumber}`;
  const budget = chatNumber % 3 === 0 ? 30 : 200;
  const turn: PassSpec = { path: '/turn/x', program, budget, most: 10 };
  let after = '';
  for (let turnIndex = 0; turnIndex < 3; turnIndex++) {
    const reply = await sendUntilDone(
      storm,
      { ...turn, after, body: `${chatNumber}-${turnIndex} ${turnIndex === 1 ? allBytes : ''}` },
      0.1,
    );
    if (reply) {
      if (world.rng() < 0.2)
        storm.trackPass(passAt(world, { ...turn, after: reply.attempt, body: 'branch' }));
      if (world.rng() < 0.2)
        storm.trackPass(
          passAt(world, { ...turn, program: `${program}h`, after: reply.attempt, body: 'helper' }),
        );
      if (world.rng() < 0.2)
        storm.trackPass(
          sendLater(storm, {
            ...turn,
            program: `${program}l`,
            after: reply.attempt,
            body: 'later',
          }),
        );
      after = reply.attempt;
    }
    await Promise.all([
      sendUntilDone(
        storm,
        {
          path: '/keyed/x',
          key: `q${chatNumber}-${turnIndex}`,
          body: `${chatNumber}-${turnIndex}`,
        },
        0.3,
      ),
      ...[splitPath, movedPath].map((path) =>
        sendUntilDone(
          storm,
          { path, key: `${path}${chatNumber}-${turnIndex}`, body: `${chatNumber}-${turnIndex}` },
          0.3,
        ),
      ),
      sendUntilDone(storm, { path: '/live/x', body: `${chatNumber}-${turnIndex}` }, 0),
      ...(world.rng() < 0.5
        ? [
            passAt(world, { path: '/once/x', body: `${chatNumber}-${turnIndex}` }),
            passAt(world, { path: '/again/x', body: `${chatNumber}-${turnIndex}` }),
          ]
        : []),
      ...(world.rng() < 0.3
        ? [passAt(world, { path: '/flow/x', body: `${chatNumber}-${turnIndex}` })]
        : []),
    ]);
  }
};
