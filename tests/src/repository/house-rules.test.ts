/**
 * Rules of the code that the linter does not check: file size, casts, clocks, processes, names of the outer protocol.
 */
import { join } from 'node:path';
import ts from 'typescript';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { readSources } from '../support/repository.js';

const codeRules = suite('rules of the code');
/** The packages whose code runs in the deployed programs. */
const daemonPackages = [
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

/** The lines that match a pattern, each with its file and line number. */
const linesMatching = (sources: ReadonlyMap<string, string>, pattern: RegExp): readonly string[] =>
  [...sources].flatMap(([file, text]) =>
    text
      .split('\n')
      .flatMap((line, i) => (pattern.test(line) ? [`${file}:${i + 1}: ${line.trim()}`] : [])),
  );

codeRules('no file is over 400 lines', async () => {
  const longFiles = [...(await readSources())]
    .filter(([, text]) => text.trimEnd().split('\n').length > 400)
    .map(([file]) => file);
  assert.equal(longFiles, []);
});

/** Whether a node is the type `any` or a cast other than `as const`. */
const isAnyOrCast = (node: ts.Node): boolean =>
  node.kind === ts.SyntaxKind.AnyKeyword ||
  ts.isTypeAssertionExpression(node) ||
  (ts.isAsExpression(node) && !ts.isConstTypeReference(node.type));

/** Finds uses of `any` and casts in the syntax tree, so that the word `as` in a comment or a string is not reported. */
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

codeRules('there are no any and no casts', async () => {
  const sources = await readSources();
  assert.ok(sources.size > 50);
  assert.equal(
    [...sources].flatMap(([file, text]) => anysAndCastsIn(file, text)),
    [],
  );
  for (const text of ['const a: any = 1;', 'f(x as string);', 'f(<T>x);', 'const b = [y as any];'])
    assert.ok(anysAndCastsIn('a.ts', text).length > 0, text);
  for (const text of ["const c = ['x'] as const;", "f('as any');", '// x as Y;'])
    assert.equal(anysAndCastsIn('a.ts', text), []);
});

codeRules('no daemon reads the wall clock, so clock changes have no effect on them', async () => {
  const daemonSources = new Map(
    [...(await readSources())].filter(([file]) =>
      daemonPackages.some((name) => file.startsWith(join('packages', name))),
    ),
  );
  assert.ok(daemonSources.size > 30);
  assert.equal(linesMatching(daemonSources, /Date\.now|new Date|toISOString/), []);
});

codeRules('no daemon starts a process', async () => {
  const daemonSources = new Map(
    [...(await readSources())].filter(([file]) =>
      daemonPackages.some((name) => file.startsWith(join('packages', name))),
    ),
  );
  assert.equal(linesMatching(daemonSources, /child_process|worker_threads|node:cluster/), []);
});

codeRules('no test waits for a fixed time', async () => {
  const tests = new Map(
    [...(await readSources())].filter(
      ([file]) => file.startsWith('tests') && !file.endsWith('house-rules.test.ts'),
    ),
  );
  assert.equal(linesMatching(tests, /setTimeout|sleep/), []);
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
  `(?<!x-)\\b(${platformHeaders.flatMap((header) => [header, header.toLowerCase()]).join('|')})\\b|\\b(${platformNames.join('|')})(?![A-Za-z])`,
);

codeRules('names of the outer protocol occur only in platform/', async () => {
  const sources = await readSources();
  const packageSources = new Map([...sources].filter(([file]) => file.startsWith('packages')));
  assert.equal(linesMatching(packageSources, platformWords), []);
  assert.ok(
    linesMatching(
      new Map([...sources].filter(([file]) => file.startsWith('platform'))),
      platformWords,
    ).length > 20,
  );
});

codeRules(
  'platform/ imports packages only by their index, and follows the rules of daemons',
  async () => {
    const platformSources = new Map(
      [...(await readSources())].filter(([file]) => file.startsWith('platform')),
    );
    assert.ok(platformSources.size > 5);
    assert.equal(
      linesMatching(
        platformSources,
        /Date\.now|new Date|toISOString|child_process|worker_threads|node:cluster/,
      ),
      [],
    );
    assert.equal(linesMatching(platformSources, /from '(\.\.\/|@tillerstair\/[a-z-]+\/)/), []);
  },
);

/** Terms that the users have withdrawn from the code; docs/glossary.md lists their replacements. */
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

codeRules('withdrawn terms occur in no name, file name or text of the code', async () => {
  const capitalized = withdrawnWords.map((word) => word[0].toUpperCase() + word.slice(1));
  const withdrawn = new RegExp(
    `(?<![A-Za-z])(${withdrawnWords.join('|')})(?![a-z])|(?<![A-Z])(${capitalized.join('|')})(?![a-z])|\\b(${withdrawnNames.join('|')})\\b`,
  );
  const sources = await readSources();
  const others = new Map([...sources].filter(([file]) => !file.endsWith('house-rules.test.ts')));
  const lines = [...others].flatMap(([file, text]) =>
    text
      .split('\n')
      .flatMap((line, i) =>
        withdrawn.test(line) && !allowedMentions.get(file)?.test(line)
          ? [`${file}:${i + 1}: ${line.trim()}`]
          : [],
      ),
  );
  assert.equal(lines, []);
  assert.equal(
    [...others.keys()].filter((file) => withdrawn.test(file)),
    [],
  );
  assert.ok(
    ['laneOf', 'theMate', 'a steward', 'freshAt', 'verdicts'].every((name) => withdrawn.test(name)),
  );
  assert.not.ok(
    ['HTTPRoute', 'estimate', 'planes', 'routeOf'].some((name) => withdrawn.test(name)),
  );
});

codeRules.run();
