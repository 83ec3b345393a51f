import { versionOf, type StateVersion, type State } from './state.js';

export interface NodeView {
  readonly id: string;
  readonly kind: string;
  readonly term: number;
  readonly master: string;
  readonly applied: StateVersion;
  readonly facts: readonly (readonly [string, string])[];
}

export const nodeViewOf = (
  id: string,
  kind: string,
  term: number,
  master: string,
  s: State | undefined,
): NodeView => {
  const facts: [string, string][] = [];
  if (s) {
    facts.push(
      ['cluster', s.clusterId],
      ['controls', s.voters.current.join(' ')],
      ['controls next', s.voters.next.join(' ')],
    );
    facts.push(['config', s.config ? `${s.config.version} ${s.config.digest}` : 'none']);
    for (const [k, m] of s.nodes) facts.push([`node ${k}`, `${m.kind} ${m.addr}`]);
    s.slots.forEach((slot, i) => {
      facts.push([
        `slot ${i}`,
        `owner ${slot.owner} ownership epoch ${slot.ownershipEpoch} replicas ${slot.replicas.join(' ')} filling ${slot.joiningReplicas.join(' ')}${slot.replacedReplica ? ` instead of ${slot.replacedReplica}` : ''}${slot.transferTarget ? ` handing to ${slot.transferTarget}` : ''}`,
      ]);
    });
    for (const [k, v] of s.servers)
      facts.push([
        `server ${k}`,
        `${v.pool} ${v.url}${v.draining ? ' draining' : ''}${v.down ? ' down' : ''}`,
      ]);
    for (const [k, w] of s.weights) facts.push([`weight ${k}`, String(w)]);
    for (const k of s.retiring.keys()) facts.push([`retiring ${k}`, 'yes']);
  }
  return { id, kind, term, master, applied: versionOf(s), facts };
};
