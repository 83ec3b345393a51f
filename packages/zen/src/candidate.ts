import {
  versionOf,
  isNewerVersion,
  hasQuorum,
  decodeState,
  type Member,
  type State,
} from '@tillerstair/state';
import { delay, type Transport, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { ValidateResponse } from './messages.js';

export interface Asking {
  readonly me: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
}

export interface GatheredVotes {
  readonly granted: ReadonlySet<string>;
  readonly newest: State;
}

export const gatherVotes = async (
  p: Asking,
  acc: State,
  term: number,
  joiners: readonly Member[],
): Promise<GatheredVotes> => {
  const { me, clock, transport, bounds } = p;
  const granted = new Set<string>();
  let newest: State = acc;
  const body = { from: me, term, clusterId: acc.clusterId, have: versionOf(acc) };
  const each = joiners.map(async (member) => {
    const got = ValidateResponse.parse(
      await transport.call(
        member.addr,
        'zen/validate',
        { ...body, to: member.id },
        { timeoutMs: bounds.joinWait },
      ),
    );
    const theirs = got.state ? decodeState(new Map(got.state)) : undefined;
    if (theirs && isNewerVersion(versionOf(theirs), versionOf(newest))) newest = theirs;
    granted.add(member.id);
  });
  let open = true;
  void Promise.allSettled(each).then(() => {
    open = false;
  });
  const late = clock.now() + bounds.joinWait;
  const enough = (): boolean => hasQuorum(acc.voters, new Set([me.id, ...granted]));
  while (open && clock.now() < late && !enough()) await delay(clock, bounds.heartbeatInterval / 50);
  if (open) await delay(clock, bounds.heartbeatInterval / 20);
  return { granted: new Set(granted), newest };
};
