/** Limits the number of suppressed lint violations. */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { repositoryRoot } from '../support/repository.js';

const lint = suite('lint suppressions');
const Suppressions = z.record(z.string(), z.record(z.string(), z.object({ count: z.number() })));

/** Maximum number of suppressed violations; lowered with every fix, never raised. */
const maxSuppressed = 1;

lint('the number of suppressed violations does not grow', async () => {
  const text = await readFile(join(repositoryRoot, 'eslint-suppressions.json'), 'utf8');
  const counts = Object.values(Suppressions.parse(JSON.parse(text))).flatMap((rules) =>
    Object.values(rules).map((rule) => rule.count),
  );
  const total = counts.reduce((sum, count) => sum + count, 0);
  assert.ok(total <= maxSuppressed, `${total} suppressed, at most ${maxSuppressed} are allowed`);
});

lint.run();
