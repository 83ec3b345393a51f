/**
 * Searches for a turn by its attempt id alone, on every store that has a replica of any slot.
 *
 * A turn counts as missing only if, in every slot, each possible write quorum includes a replica that responded without
 * it.
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
  /** Ids of the stores that responded. */
  readonly responders: ReadonlySet<string>;
}

/** Transport, cluster state and time limit of a search. */
export interface TurnSearchOptions {
  readonly transport: Transport;
  readonly state: State;
  /** Timeout of the request to each store, in ms. */
  readonly timeoutMs: number;
}

const slotsByStore = (state: State): ReadonlyMap<string, readonly number[]> => {
  const slots = new Map<string, number[]>();
  state.slots.forEach(({ replicas }, slotNumber) => {
    for (const id of replicas) slots.set(id, [...(slots.get(id) ?? []), slotNumber]);
  });
  return slots;
};

const storedTurns = (items: readonly Item[]): readonly StoredTurn[] =>
  items.flatMap((item) => {
    const turn = PassTurn.safeParse(item.value);
    const attempt = turnIdOfKey(item.key) ?? '';
    return turn.success ? [{ item, turn: turn.data, attempt }] : [];
  });

const requestFromStores = async (
  { transport, state, timeoutMs }: TurnSearchOptions,
  attempt: string,
): Promise<Responses> => {
  const responders = new Set<string>();
  const results = await Promise.allSettled(
    [...slotsByStore(state)].map(async ([id, slots]) => {
      const member = state.nodes.get(id);
      if (!member) throw new ReplicaError('away', `replica ${id} is not in the cluster state`);
      const request = { store: id, turn: attempt, slots };
      const found = FindTurnResponse.parse(
        await transport.call(member.addr, 'store/find', request, { timeoutMs }),
      );
      responders.add(id);
      return found.items;
    }),
  );
  const items = results.flatMap((result) => (result.status === 'fulfilled' ? result.value : []));
  return { turns: storedTurns(items), responders };
};

/** Whether, in every slot that has replicas, each possible write quorum includes a store that responded. */
const everyQuorumResponded = (state: State, responders: ReadonlySet<string>): boolean => {
  const slots = state.slots.filter(({ replicas }) => replicas.length > 0);
  return (
    slots.length > 0 &&
    slots.every(({ replicas }) => {
      const responseCount = replicas.filter((id) => responders.has(id)).length;
      return responseCount > replicas.length - state.replication.quorum;
    })
  );
};

const newestOf = (turns: readonly StoredTurn[]): StoredTurn | undefined =>
  turns.reduce<StoredTurn | undefined>(
    (newest, turn) => (newest && !isNewerItem(turn.item, newest.item) ? newest : turn),
    undefined,
  );

/**
 * Resolves with the finished turn of this attempt and the finished turns that it follows, or with an empty list if the
 * attempt has no turn. Rejects with an `UnavailableError`: `not-finished` while the turn is running, `unavailable` if
 * too few stores respond.
 */
export const findFinishedTurn = async (
  options: TurnSearchOptions,
  attempt: string,
): Promise<readonly FoundTurn[]> => {
  const { turns, responders } = await requestFromStores(options, attempt);
  const finished = turns.filter(({ turn }) => turn.status === 'done');
  if (finished.some((turn) => turn.attempt === attempt)) return finished;
  if (!everyQuorumResponded(options.state, responders))
    throw new UnavailableError('unavailable', `too few stores responded to find turn ${attempt}`);
  const newest = newestOf(turns.filter((turn) => turn.attempt === attempt));
  if (newest?.turn.status === 'reserved')
    throw new UnavailableError('not-finished', `turn ${attempt} has not finished`);
  return [];
};
