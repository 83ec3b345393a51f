/** Reads the source files of this repository, for tests that check rules of the code. */
import { readdir, readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** The root folder of the repository; compiled test modules are three folders below it. */
export const repositoryRoot = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..');

const typescriptFilesBelow = async (folder: string): Promise<readonly string[]> => {
  const names = await readdir(join(repositoryRoot, folder), { recursive: true });
  return names.filter((name) => name.endsWith('.ts')).map((name) => join(folder, name));
};

/** The source folders of all packages, of the platform adapter and of the tests, relative to the root. */
const sourceFolders = async (): Promise<readonly string[]> => {
  const packages = await readdir(join(repositoryRoot, 'packages'));
  return [
    ...packages.map((name) => join('packages', name, 'src')),
    join('platform', 'src'),
    join('tests', 'src'),
  ];
};

/** Reads all TypeScript sources: maps the path from the root to the text. */
export const readSources = async (): Promise<ReadonlyMap<string, string>> => {
  const folders = await sourceFolders();
  const files = (await Promise.all(folders.map(typescriptFilesBelow))).flat();
  const texts = await Promise.all(
    files.map(async (file): Promise<readonly [string, string]> => [
      file,
      await readFile(join(repositoryRoot, file), 'utf8'),
    ]),
  );
  return new Map(texts);
};
