import { markOf, newer, quorum, unflatten, type Mate, type State } from '@tillerstair/state';
import { pause, type Circuits, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { Promised } from './messages.js';

export interface Asking {
  readonly me: Mate;
  readonly clock: Clock;
  readonly circuits: Circuits;
  readonly bounds: ZenBounds;
}

export interface Promises {
  readonly promised: ReadonlySet<string>;
  readonly newest: State;
}

export const gatherPromises = async (p: Asking, acc: State, term: number, joiners: readonly Mate[]): Promise<Promises> => {
  const { me, clock, circuits, bounds } = p;
  const promised = new Set<string>();
  let newest: State = acc;
  const body = { from: me, term, clusterId: acc.clusterId, have: markOf(acc) };
  const each = joiners.map(async (mate) => {
    const got = Promised.parse(await circuits.call(mate.addr, 'zen/validate', { ...body, to: mate.id }, { within: bounds.joinWait }));
    const theirs = got.state ? unflatten(new Map(got.state)) : undefined;
    if (theirs && newer(markOf(theirs), markOf(newest))) newest = theirs;
    promised.add(mate.id);
  });
  let open = true;
  void Promise.allSettled(each).then(() => {
    open = false;
  });
  const late = clock.now() + bounds.joinWait;
  const enough = (): boolean => quorum(acc.voters, new Set([me.id, ...promised]));
  while (open && clock.now() < late && !enough()) await pause(clock, bounds.beat / 50);
  if (open) await pause(clock, bounds.beat / 20);
  return { promised: new Set(promised), newest };
};
