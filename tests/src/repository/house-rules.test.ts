import { join } from 'node:path';
import ts from 'typescript';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { readSources } from '../support/repository.js';

const house = suite('house rules');
const daemons = [
  'wire',
  'journal',
  'zen',
  'state',
  'control',
  'store',
  'session-owner',
  'proxy',
  'agent',
  'settings',
];

const hits = (all: ReadonlyMap<string, string>, wrong: RegExp): readonly string[] =>
  [...all].flatMap(([f, text]) =>
    text
      .split('\n')
      .flatMap((line, i) => (wrong.test(line) ? [`${f}:${i + 1}: ${line.trim()}`] : [])),
  );

house('no file is over 400 lines', async () => {
  const long = [...(await readSources())]
    .filter(([, t]) => t.trimEnd().split('\n').length > 400)
    .map(([f]) => f);
  assert.equal(long, []);
});

/** Whether a node is a cast (`as const` is none) or the type `any`. */
const isAnyOrCast = (node: ts.Node): boolean =>
  node.kind === ts.SyntaxKind.AnyKeyword ||
  ts.isTypeAssertionExpression(node) ||
  (ts.isAsExpression(node) && !ts.isConstTypeReference(node.type));

/** Looks at the syntax, so that the word `as` in a comment or a text is no cast. */
const anysAndCastsIn = (file: string, text: string): readonly string[] => {
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.Latest);
  const found: string[] = [];
  const visit = (node: ts.Node): void => {
    if (isAnyOrCast(node)) {
      const { line } = source.getLineAndCharacterOfPosition(node.getStart(source));
      found.push(`${file}:${line + 1}: ${node.getText(source)}`);
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return found;
};

house('no any, no casts', async () => {
  const all = await readSources();
  assert.ok(all.size > 50);
  assert.equal(
    [...all].flatMap(([file, text]) => anysAndCastsIn(file, text)),
    [],
  );
  for (const text of ['const a: any = 1;', 'f(x as string);', 'f(<T>x);', 'const b = [y as any];'])
    assert.ok(anysAndCastsIn('a.ts', text).length > 0, text);
  for (const text of ["const c = ['x'] as const;", "f('as any');", '// x as Y;'])
    assert.equal(anysAndCastsIn('a.ts', text), []);
});

house('no daemon reads the wall clock, so a jump of it changes nothing', async () => {
  const own = new Map(
    [...(await readSources())].filter(([f]) =>
      daemons.some((d) => f.startsWith(join('packages', d))),
    ),
  );
  assert.ok(own.size > 30);
  assert.equal(hits(own, /Date\.now|new Date|toISOString/), []);
});

house('no daemon starts a process', async () => {
  const own = new Map(
    [...(await readSources())].filter(([f]) =>
      daemons.some((d) => f.startsWith(join('packages', d))),
    ),
  );
  assert.equal(hits(own, /child_process|worker_threads|node:cluster/), []);
});

house('no test waits for time to pass', async () => {
  const tests = new Map(
    [...(await readSources())].filter(
      ([f]) => f.startsWith('tests') && !f.endsWith('house-rules.test.ts'),
    ),
  );
  assert.equal(hits(tests, /setTimeout|sleep/), []);
});

const platformHeaders = [
  'Try-Id',
  'Server-Seal',
  'Server-Load',
  'Server-Id',
  'Time-Left-Ms',
  'Token-Budget',
  'Token-Count',
  'Previous-Turn',
  'Prompt-Prefix',
  'Program-Time-Left',
  'Not-Run',
  'Expect-Server',
  'Expect-Edition',
  'Weight-Editions',
];
const platformNames = [
  'wayKind',
  'once_only',
  'keyed_once',
  'pathPrefix',
  'depots?',
  'berths',
  'strideTokens',
  'cacheTokens',
  'selfDedupes',
  'connLimit',
  'signal_box',
  'winding_down',
  'cloudApi',
  'coldLeftMs',
  'intakeLimits',
  'gapTargetMs',
  'targetMs',
  'retainS',
  'passWindowS',
  'frontAddr',
  'readyAddr',
  'controlAddr',
  'contactMs',
  'drainMs',
  'graceS',
  'recoverS',
  'TILLERSTAIR_CONFIG',
  'retire/',
  'nodeName',
  'seedNodes',
  'firstBoot',
  'vaults?',
  'tlsMode',
  'editions?',
];
const platformWords = new RegExp(
  `(?<!x-)\\b(${platformHeaders.flatMap((h) => [h, h.toLowerCase()]).join('|')})\\b|\\b(${platformNames.join('|')})(?![A-Za-z])`,
);

house('words of the platform stand in platform/ alone', async () => {
  const all = await readSources();
  const others = new Map([...all].filter(([f]) => f.startsWith('packages')));
  assert.equal(hits(others, platformWords), []);
  assert.ok(
    hits(new Map([...all].filter(([f]) => f.startsWith('platform'))), platformWords).length > 20,
  );
});

house("platform/ keeps to the packages' front doors", async () => {
  const own = new Map([...(await readSources())].filter(([f]) => f.startsWith('platform')));
  assert.ok(own.size > 5);
  assert.equal(
    hits(own, /Date\.now|new Date|toISOString|child_process|worker_threads|node:cluster/),
    [],
  );
  assert.equal(hits(own, /from '(\.\.\/|@tillerstair\/[a-z-]+\/)/), []);
});

/** Words of the earlier house style, withdrawn by the users; docs/glossary.md has the names that took their place. */
const withdrawnWords = [
  'circuits?',
  'inquir(y|ies)',
  'mishaps?',
  'mates?',
  'verdicts?',
  'tenures?',
  'stewards?',
  'stewardships?',
  'lanes?',
  'busyness',
  'pongs?',
  'shelf',
  'beliefs?',
  'allots?',
  'founds',
  'founding',
];
const withdrawnNames = [
  'markOf',
  'sameMark',
  'promisedTo',
  'handTo',
  'copiesAfter',
  'keptOn',
  'toldAt',
  'ToldRecord',
  'SlotKeeper',
  'DiskKeep',
  'MemoryKeep',
  'BadEnv',
  'readEnv',
  'leavingWithin',
  'freshAt',
  'freshen',
];
const allowedMentions: ReadonlyMap<string, RegExp> = new Map([
  [join('packages', 'state', 'src', 'config', 'check.ts'), /renamedKeys/],
]);

house('withdrawn words stand in no name, file or text of the code', async () => {
  const camel = withdrawnWords.map((w) => w[0].toUpperCase() + w.slice(1));
  const wrong = new RegExp(
    `(?<![A-Za-z])(${withdrawnWords.join('|')})(?![a-z])|(?<![A-Z])(${camel.join('|')})(?![a-z])|\\b(${withdrawnNames.join('|')})\\b`,
  );
  const all = await readSources();
  const others = new Map([...all].filter(([f]) => !f.endsWith('house-rules.test.ts')));
  const lines = [...others].flatMap(([f, text]) =>
    text
      .split('\n')
      .flatMap((line, i) =>
        wrong.test(line) && !allowedMentions.get(f)?.test(line)
          ? [`${f}:${i + 1}: ${line.trim()}`]
          : [],
      ),
  );
  assert.equal(lines, []);
  assert.equal(
    [...others.keys()].filter((f) => wrong.test(f)),
    [],
  );
  assert.ok(['laneOf', 'theMate', 'a steward', 'freshAt', 'verdicts'].every((x) => wrong.test(x)));
  assert.not.ok(['HTTPRoute', 'estimate', 'planes', 'routeOf'].some((x) => wrong.test(x)));
});

house.run();
