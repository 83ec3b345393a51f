/** Requests for programs and turns of the product's own interface, made to a `SessionOwnerRig`. */
import { turnIdOf, TurnValue } from '@tillerstair/session-owner';
import { SessionOwnerRig } from './session-owner-rig.js';

const never = new AbortController().signal;
/** The turn that `runTurn` asks for unless told otherwise. */
export const turn = turnIdOf('p1', 'k');
/** The key of its record. */
export const turnKey = `p/p1/t/${turn}`;

interface TurnChange {
  readonly tenant?: string;
  readonly pid?: string;
  readonly after?: string | null;
  readonly path?: string;
  readonly words?: string;
  readonly key?: string;
  readonly maxTokens?: number;
}

/** Asks for a turn of program p1. */
export const runTurn = (rig: SessionOwnerRig, change: TurnChange = {}, stop: AbortSignal = never) =>
  rig.owner.turns.runTurn(
    {
      tenant: 't',
      pid: 'p1',
      after: null,
      path: '/chat',
      words: 'hello',
      key: 'k',
      requestId: '',
      ...change,
    },
    rig.emit,
    stop,
  );

/** Reads program p1 or one of its turns. */
export const readHistory = (
  rig: SessionOwnerRig,
  change: { tenant?: string; turn?: string } = {},
) => rig.owner.turns.readHistory({ tenant: 't', pid: 'p1', ...change });

/** An owner with program p1 of tenant t. */
export const withProgram = async (budget = 50): Promise<SessionOwnerRig> => {
  const rig = await SessionOwnerRig.opened();
  await rig.finish(rig.owner.turns.createProgram({ tenant: 't', pid: 'p1', budget }));
  return rig;
};

/** The record of a turn. */
export const turnValue = (rig: SessionOwnerRig, at = turnKey): TurnValue =>
  TurnValue.parse(rig.stored(at));
