/** In a fresh clone the programs run after `npm ci`, without a build, as README states. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { repositoryRoot } from '../support/repository.js';

const freshClone = suite('fresh-clone');

const RootManifest = z.object({ scripts: z.object({ prepare: z.string() }) });

/** The files that the start scripts of a package import, relative to the package folder. */
const importedByPrograms = (packageFolder: string): readonly string[] => {
  const binFolder = join(packageFolder, 'bin');
  if (!existsSync(binFolder)) return [];
  return readdirSync(binFolder).flatMap((file) => {
    const imported = /import '\.\.\/(.+)';/.exec(readFileSync(join(binFolder, file), 'utf8'));
    return imported?.[1] ?? [];
  });
};

freshClone('npm ci transpiles every file that the start scripts of the programs import', () => {
  const manifest = RootManifest.parse(
    JSON.parse(readFileSync(join(repositoryRoot, 'package.json'), 'utf8')),
  );
  assert.is(manifest.scripts.prepare, 'node platform/transpile.mjs');
  const output = mkdtempSync(join(tmpdir(), 'tillerstair-transpiled-'));
  try {
    execFileSync(process.execPath, [join(repositoryRoot, 'platform', 'transpile.mjs'), output]);
    const packages = readdirSync(join(repositoryRoot, 'packages'));
    const expected = packages.flatMap((name) =>
      importedByPrograms(join(repositoryRoot, 'packages', name)).map((file) => join(name, file)),
    );
    assert.ok(expected.length >= 8, `only ${expected.length} start scripts were found`);
    assert.equal(
      expected.filter((file) => !existsSync(join(output, file))),
      [],
    );
  } finally {
    rmSync(output, { recursive: true });
  }
});

freshClone.run();
