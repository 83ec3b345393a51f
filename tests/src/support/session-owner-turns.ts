/** Requests for programs and turns of the product's own interface, sent to the owner of a `SessionOwnerFixture`. */
import { turnIdOf, TurnValue } from '@tillerstair/session-owner';
import { SessionOwnerFixture } from './session-owner-fixture.js';

const neverAborted = new AbortController().signal;
/** The id of the turn that `runTurn` requests by default. */
export const turnId = turnIdOf('p1', 'k');
/** The key of that turn's record. */
export const turnKey = `p/p1/t/${turnId}`;

/** Properties of a turn request that differ from the defaults. */
interface TurnOverrides {
  readonly tenant?: string;
  readonly pid?: string;
  readonly after?: string | null;
  readonly path?: string;
  readonly words?: string;
  readonly key?: string;
  readonly maxTokens?: number;
}

/** Requests a turn, by default of program p1. */
export const runTurn = (
  fixture: SessionOwnerFixture,
  overrides: TurnOverrides = {},
  signal: AbortSignal = neverAborted,
) =>
  fixture.owner.turns.runTurn(
    {
      tenant: 't',
      pid: 'p1',
      after: null,
      path: '/chat',
      words: 'hello',
      key: 'k',
      requestId: '',
      ...overrides,
    },
    fixture.emit,
    signal,
  );

/** Reads program p1 or one of its turns. */
export const readHistory = (
  fixture: SessionOwnerFixture,
  overrides: { tenant?: string; turn?: string } = {},
) => fixture.owner.turns.readHistory({ tenant: 't', pid: 'p1', ...overrides });

/** Creates an owner with program p1 of tenant t; `budget` is in tokens. */
export const withProgram = async (budget = 50): Promise<SessionOwnerFixture> => {
  const fixture = await SessionOwnerFixture.opened();
  await fixture.finish(fixture.owner.turns.createProgram({ tenant: 't', pid: 'p1', budget }));
  return fixture;
};

/** The record of a turn, as a quorum of stores has it. */
export const turnValue = (fixture: SessionOwnerFixture, key = turnKey): TurnValue =>
  TurnValue.parse(fixture.stored(key));
