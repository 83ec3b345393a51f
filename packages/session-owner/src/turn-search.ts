/**
 * Looks for a turn by its attempt alone, on every store that has a replica of any slot.
 *
 * A turn is said to be missing only if so many replicas of every slot say so that any write quorum has one of them.
 */
import { FindTurnResponse, isNewerItem, type Item, type State } from '@tillerstair/state';
import { ReplicaError, UnavailableError, type Transport } from '@tillerstair/wire';
import type { FoundTurn } from './owner-services.js';
import { PassTurn } from './stored-values.js';
import { turnIdOfKey } from './turn-records.js';

interface StoredTurn extends FoundTurn {
  readonly item: Item;
}

interface Responses {
  readonly turns: readonly StoredTurn[];
  /** Ids of the stores that answered. */
  readonly responders: ReadonlySet<string>;
}

/** Where a search asks. */
export interface TurnSearchOptions {
  readonly transport: Transport;
  readonly state: State;
  /** How long one store may take, in ms. */
  readonly timeoutMs: number;
}

const slotsByStore = (state: State): ReadonlyMap<string, readonly number[]> => {
  const slots = new Map<string, number[]>();
  state.slots.forEach(({ replicas }, n) => {
    for (const id of replicas) slots.set(id, [...(slots.get(id) ?? []), n]);
  });
  return slots;
};

const storedTurns = (items: readonly Item[]): readonly StoredTurn[] =>
  items.flatMap((item) => {
    const turn = PassTurn.safeParse(item.value);
    const attempt = turnIdOfKey(item.key) ?? '';
    return turn.success ? [{ item, turn: turn.data, attempt }] : [];
  });

const askStores = async (
  { transport, state, timeoutMs }: TurnSearchOptions,
  attempt: string,
): Promise<Responses> => {
  const responders = new Set<string>();
  const answers = await Promise.allSettled(
    [...slotsByStore(state)].map(async ([id, slots]) => {
      const member = state.nodes.get(id);
      if (!member) throw new ReplicaError('away', `replica ${id} is unavailable`);
      const request = { turn: attempt, slots };
      const found = FindTurnResponse.parse(
        await transport.call(member.addr, 'store/find', request, { timeoutMs }),
      );
      responders.add(id);
      return found.items;
    }),
  );
  const items = answers.flatMap((answer) => (answer.status === 'fulfilled' ? answer.value : []));
  return { turns: storedTurns(items), responders };
};

const everyQuorumAsked = (state: State, responders: ReadonlySet<string>): boolean => {
  const slots = state.slots.filter(({ replicas }) => replicas.length > 0);
  return (
    slots.length > 0 &&
    slots.every(({ replicas }) => {
      const answered = replicas.filter((id) => responders.has(id)).length;
      return answered > replicas.length - state.replication.quorum;
    })
  );
};

const newestOf = (turns: readonly StoredTurn[]): StoredTurn | undefined =>
  turns.reduce<StoredTurn | undefined>(
    (newest, turn) => (newest && !isNewerItem(turn.item, newest.item) ? newest : turn),
    undefined,
  );

/**
 * Resolves with the finished turn of this attempt and those it goes on from, or with nothing where there is none.
 * Rejects with an `UnavailableError`: `not-finished` while the turn runs, `unavailable` while too few stores answer.
 */
export const findFinishedTurn = async (
  options: TurnSearchOptions,
  attempt: string,
): Promise<readonly FoundTurn[]> => {
  const { turns, responders } = await askStores(options, attempt);
  const finished = turns.filter(({ turn }) => turn.status === 'done');
  if (finished.some((turn) => turn.attempt === attempt)) return finished;
  if (!everyQuorumAsked(options.state, responders))
    throw new UnavailableError('unavailable', 'too few stores can tell');
  const newest = newestOf(turns.filter((turn) => turn.attempt === attempt));
  if (newest?.turn.status === 'reserved')
    throw new UnavailableError('not-finished', 'this turn has not finished');
  return [];
};
