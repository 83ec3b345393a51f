/**
 * Checks the guards in tests/guards: each replaces a text that occurs once in a source file, and names an existing
 * test.
 */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { readSources, repositoryRoot } from '../support/repository.js';

const guards = suite('the list of guards');
const guardFolder = join(repositoryRoot, 'tests', 'guards');

const Guard = z.strictObject({
  file: z.string(),
  find: z.string().min(1),
  replace: z.string(),
  test: z.string().min(1),
  name: z.string().min(1),
});

const readGuards = async (): Promise<readonly z.infer<typeof Guard>[]> => {
  const files = (await readdir(guardFolder)).filter((file) => file.endsWith('.json'));
  const texts = await Promise.all(files.map((file) => readFile(join(guardFolder, file), 'utf8')));
  return texts.flatMap((text) => z.array(Guard).parse(JSON.parse(text)));
};

guards('the text of each guard occurs exactly once in its file', async () => {
  const sources = await readSources();
  const invalidGuards = (await readGuards()).filter(
    (guard) => (sources.get(guard.file) ?? '').split(guard.find).length !== 2,
  );
  assert.equal(
    invalidGuards.map((guard) => `${guard.file}: ${guard.name}`),
    [],
  );
});

guards('the test of each guard exists', async () => {
  const tests = [...(await readSources()).keys()]
    .filter((file) => file.endsWith('.test.ts'))
    .map((file) => file.replace(/^tests\/src\//, '').replace(/\.ts$/, '.js'));
  const invalidGuards = (await readGuards()).filter(
    (guard) => !tests.some((path) => new RegExp(guard.test).test(path)),
  );
  assert.equal(
    invalidGuards.map((guard) => `${guard.name}: ${guard.test}`),
    [],
  );
});

guards.run();
