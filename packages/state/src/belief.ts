import { markOf, type Mark, type State } from './state.js';

export interface Belief {
  readonly id: string;
  readonly kind: string;
  readonly term: number;
  readonly master: string;
  readonly applied: Mark;
  readonly facts: readonly (readonly [string, string])[];
}

export const beliefOf = (id: string, kind: string, term: number, master: string, s: State | undefined): Belief => {
  const facts: [string, string][] = [];
  if (s) {
    facts.push(['cluster', s.clusterId], ['controls', s.voters.now.join(' ')], ['controls next', s.voters.next.join(' ')]);
    facts.push(['config', s.config ? `${s.config.version} ${s.config.digest}` : 'none']);
    for (const [k, m] of s.nodes) facts.push([`node ${k}`, `${m.kind} ${m.addr}`]);
    s.slots.forEach((slot, i) => {
      facts.push([`slot ${i}`, `steward ${slot.steward} tenure ${slot.tenure} copies ${slot.copies.join(' ')} filling ${slot.filling.join(' ')}${slot.instead ? ` instead of ${slot.instead}` : ''}${slot.handTo ? ` handing to ${slot.handTo}` : ''}`]);
    });
    for (const [k, v] of s.servers) facts.push([`server ${k}`, `${v.pool} ${v.url}${v.leaving ? ' leaving' : ''}${v.down ? ' down' : ''}`]);
    for (const [k, w] of s.weights) facts.push([`weight ${k}`, String(w)]);
    for (const k of s.retiring.keys()) facts.push([`retiring ${k}`, 'yes']);
  }
  return { id, kind, term, master, applied: markOf(s), facts };
};
