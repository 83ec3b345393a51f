// Draws the packages' dependencies into docs/ARCHITECTURE.md as a Mermaid graph, from the imports in their sources.
//
//   node docs/package-graph.mjs           writes the graph
//   node docs/package-graph.mjs --check   ends with 1 if the page shows another graph
//
// An arrow that follows from others (a -> b -> c makes a -> c needless) is left out, or nothing could be read.
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const docs = dirname(fileURLToPath(import.meta.url));
const root = join(docs, '..');
const page = join(docs, 'ARCHITECTURE.md');
const markers = /(<!-- package graph: begin[^\n]*-->\n)[\s\S]*?(<!-- package graph: end -->)/;

/** The programs that are installed, by the package that starts them. */
const programs = new Map([
  ['proxy', 'front-proxy'],
  ['agent', 'front-agent'],
  ['control', 'control-node'],
  ['store', 'store-node'],
  ['ctl', 'tillerctl'],
]);
const onlyForTests = new Set(['checker', 'fleet', 'sim', 'stand-ins']);

const sourcesOf = (folder) =>
  readdirSync(folder, { recursive: true })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => readFileSync(join(folder, name), 'utf8'));

/** The packages that a folder of sources imports. */
const importsOf = (folder) =>
  new Set(
    sourcesOf(folder).flatMap((text) =>
      [...text.matchAll(/(?:from|import)\s*\(?'@tillerstair\/([a-z-]+)/g)].map(([, name]) => name),
    ),
  );

const names = readdirSync(join(root, 'packages')).sort();
const graph = new Map([
  ...names.map((name) => [name, importsOf(join(root, 'packages', name, 'src'))]),
  ['platform', importsOf(join(root, 'platform', 'src'))],
]);

const reaches = (from, to) =>
  [...(graph.get(from) ?? [])].some((next) => next === to || reaches(next, to));
const isNeeded = (from, to) =>
  ![...(graph.get(from) ?? [])].some((other) => other !== to && reaches(other, to));

const labelOf = (name) =>
  programs.has(name) ? `["${name}<br/><b>${programs.get(name)}</b>"]` : `["${name}"]`;
const nodeOf = (name) => `${name}${labelOf(name)}${onlyForTests.has(name) ? ':::tests' : ''}`;

const lines = [
  'graph TD',
  ...[...graph.keys()].map((name) => `  ${nodeOf(name)}`),
  ...[...graph].flatMap(([from, targets]) =>
    [...targets].sort().flatMap((to) => (isNeeded(from, to) ? [`  ${from} --> ${to}`] : [])),
  ),
  '  classDef tests stroke-dasharray: 4 3;',
];
const drawing = `\`\`\`mermaid\n${lines.join('\n')}\n\`\`\`\n`;

const text = readFileSync(page, 'utf8');
if (!markers.test(text)) throw new Error('docs/ARCHITECTURE.md has no place for the package graph');
const drawn = text.replace(markers, (_, begin, end) => `${begin}${drawing}${end}`);
if (!process.argv.includes('--check')) writeFileSync(page, drawn);
else if (drawn !== text) {
  process.stderr.write('docs/ARCHITECTURE.md shows another graph; run node docs/package-graph.mjs\n');
  process.exitCode = 1;
}
