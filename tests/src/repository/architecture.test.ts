/** Checks that the documentation agrees with the code: files, names, tests, error codes, log lines, package graph. */
import { execFile } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { rpcErrorCodes } from '@tillerstair/wire';
import { declaredNames, findingOf, readPages, referencesIn } from '../support/code-references.js';
import { readSources, repositoryRoot } from '../support/repository.js';

const pages = suite('references from the pages to the code');
const run = promisify(execFile);
/**
 * The users' list of plain words, from their letter on readable code. The code may not contain them, so they are in a
 * data file.
 */
const PlainWords = z.array(z.string()).min(60);

/** Pages that refer to tests by folder and file, such as `zen/vote`. */
const testPages = ['never-list', 'brief', 'incidents', 'callers'].map((name) =>
  join('docs', `${name}.md`),
);
const testsNamedIn = (text: string): readonly string[] =>
  [...text.matchAll(/`(?!tests\/|packages\/)([a-z-]+\/[a-z-]+)(?:\.test\.ts)?`/g)].map(
    ([, name = '']) => name,
  );

/**
 * Pages in which names in backticks, such as `StateSender`, `Publisher.publish` and `joinMaster`, are names of the
 * code.
 */
const designPages = [
  'answers-and-connections',
  'control-safety',
  'design',
  'gaps',
  'never-list',
  'operators',
  'platform',
  'zen',
].map((name) => join('docs', `${name}.md`));
/** Other names in these pages: of the language, Node and the Gateway API, and a field of the users' requests. */
const foreignNames: ReadonlySet<string> = new Set([
  'Object.fromEntries',
  'setImmediate',
  'Gateway',
  'HTTPRoute',
  'PathPrefix',
  'overS',
]);
const namesIn = (page: string, text: string): readonly { page: string; name: string }[] =>
  [...text.matchAll(/`([A-Z]+[a-z][A-Za-z]*(?:\.[a-z][A-Za-z]+)?|[a-z]+[A-Z][A-Za-z]*)`/g)].map(
    ([, name = '']) => ({ page, name }),
  );

const architecture = join('docs', 'ARCHITECTURE.md');
const glossary = join('docs', 'glossary.md');

pages(
  'every file that a page refers to exists and declares the name in the reference',
  async () => {
    const references = [...(await readPages())].flatMap(([page, text]) => referencesIn(page, text));
    const findings = await Promise.all(references.map(findingOf));
    assert.equal(
      findings.filter((finding) => finding !== undefined),
      [],
    );
  },
);

pages('every name of the code in the design pages is declared somewhere', async () => {
  const sources = [...(await readSources())].filter(([file]) => !file.startsWith('tests'));
  const declared = new Set(sources.flatMap(([file, text]) => [...declaredNames(file, text)]));
  const texts = await readPages();
  const named = designPages.flatMap((page) => namesIn(page, texts.get(page) ?? ''));
  assert.ok(named.length > 50, `${named.length} names`);
  assert.equal(
    named.filter(({ name }) => !declared.has(name) && !foreignNames.has(name)),
    [],
  );
});

pages('every test that a page names in backticks exists', async () => {
  const tests = new Set(
    [...(await readSources()).keys()].filter((file) => file.endsWith('.test.ts')),
  );
  const texts = await readPages();
  const named = testPages.flatMap((page) => testsNamedIn(texts.get(page) ?? ''));
  assert.ok(named.length > 100, `${named.length} tests are named`);
  assert.equal(
    named.filter((name) => !tests.has(join('tests', 'src', `${name}.test.ts`))),
    [],
  );
});

pages('the architecture page and the glossary have a minimum number of references', async () => {
  const texts = await readPages();
  const countIn = (page: string): number =>
    referencesIn(page, texts.get(page) ?? '').filter(({ name }) => name !== '').length;
  assert.ok(countIn(architecture) >= 30, `${countIn(architecture)} in ${architecture}`);
  assert.ok(countIn(glossary) >= 60, `${countIn(glossary)} in ${glossary}`);
});

pages('a reference to a missing file or name is reported', async () => {
  const text =
    'see `packages/zen/src/vote.ts#grantVote`, `packages/zen/src/vote.ts#grant` and `packages/no.ts`';
  const findings = await Promise.all(referencesIn('a page', text).map(findingOf));
  assert.equal(findings, [
    undefined,
    'a page: packages/zen/src/vote.ts declares no grant',
    'a page: there is no packages/no.ts',
  ]);
});

pages('a name in a comment or a call is not a declaration', () => {
  const text = '/** mentioned */ class Outer { member() { called(); } get value() { return 1; } }';
  const names = declaredNames('x.ts', text);
  assert.ok(['Outer', 'member', 'Outer.member', 'value'].every((name) => names.has(name)));
  assert.not.ok(['mentioned', 'called', 'Outer.called'].some((name) => names.has(name)));
});

pages(
  'the glossary has a row for every word of the list that the engineers were given',
  async () => {
    const text = (await readPages()).get(glossary) ?? '';
    const list = await readFile(
      join(repositoryRoot, 'tests', 'fixtures', 'plain-words.json'),
      'utf8',
    );
    const plainWords = PlainWords.parse(JSON.parse(list));
    const rows = text.split('\n').filter((line) => line.startsWith('| '));
    const words = rows.flatMap((row) =>
      (row.split('|')[1] ?? '').split(',').map((word) => word.trim()),
    );
    assert.equal(
      plainWords.filter((word) => !words.includes(word)),
      [],
    );
  },
);

pages('the page of errors lists exactly the existing error codes', async () => {
  const text = (await readPages()).get(join('docs', 'errors.md')) ?? '';
  const rows = text.split('\n').filter((line) => line.startsWith('| `'));
  const listed = rows.flatMap((row) =>
    [...(row.split('|')[2] ?? '').matchAll(/`([a-z-]+)`/g)].map(([, code = '']) => code),
  );
  assert.equal([...listed].sort(), Object.values(rpcErrorCodes).flat().sort());
});

pages('the log lines that the operators page explains exist in the code', async () => {
  const text = (await readPages()).get(join('docs', 'operators.md')) ?? '';
  const table = text.split('## What the log says')[1]?.split('\n## ')[0] ?? '';
  const lines = [...table.matchAll(/^\| (.+?) \|/gm)].map(([, line = '']) => line).slice(1);
  const fragments = lines.flatMap((line) => line.split(/…| \/ |,/).map((part) => part.trim()));
  const code = [...(await readSources())]
    .filter(([file]) => file.startsWith('packages'))
    .map(([, source]) => source)
    .join('\n');
  assert.ok(lines.length > 15, `${lines.length} lines`);
  const inCode = (part: string): boolean => code.includes(part.replace(/^\((\w+)\)$/, "'$1'"));
  assert.equal(
    fragments.filter((part) => !inCode(part)),
    [],
  );
});

pages('the package graph matches the imports of the packages', async () => {
  await run(process.execPath, [join(repositoryRoot, 'docs', 'package-graph.mjs'), '--check']);
});

pages.run();
