import { z } from 'zod';
import { isNewerVersion, type StateVersion } from '@tillerstair/state';

export const NodeViewReply = z.object({
  id: z.string(),
  kind: z.string(),
  term: z.number(),
  master: z.string(),
  applied: z.object({ term: z.number(), version: z.number() }),
  facts: z.array(z.tuple([z.string(), z.string()])),
});
export type NodeViewReply = z.infer<typeof NodeViewReply>;

export interface Difference {
  readonly fact: string;
  readonly a: string;
  readonly b: string;
}

export interface Comparison {
  readonly newer: 'a' | 'b' | 'same';
  readonly differences: readonly Difference[];
}

const versionText = (m: StateVersion): string =>
  m.term < 0 ? 'nothing' : `term ${m.term} version ${m.version}`;

export const compare = (a: NodeViewReply, b: NodeViewReply): Comparison => {
  const own = (fact: string): boolean => fact.startsWith('own ');
  const fa = new Map(a.facts.filter(([k]) => !own(k)));
  const fb = new Map(b.facts.filter(([k]) => !own(k)));
  const out: Difference[] = [];
  const add = (fact: string, x: string, y: string): void => {
    if (x !== y) out.push({ fact, a: x, b: y });
  };
  add('term', String(a.term), String(b.term));
  add('master', a.master || 'none', b.master || 'none');
  add('applied', versionText(a.applied), versionText(b.applied));
  for (const k of [...new Set([...fa.keys(), ...fb.keys()])].sort())
    add(k, fa.get(k) ?? 'nothing', fb.get(k) ?? 'nothing');
  return {
    newer: isNewerVersion(a.applied, b.applied)
      ? 'a'
      : isNewerVersion(b.applied, a.applied)
        ? 'b'
        : 'same',
    differences: out,
  };
};
