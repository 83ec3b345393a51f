/**
 * Finds and checks references from documentation pages to the code: `path/to/file.ts` or `path/to/file.ts#name` in
 * backticks. A name is a declaration of that file, or a member of one of its classes, interfaces and objects, written
 * `Class.member` or just `member`.
 */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import ts from 'typescript';
import { repositoryRoot } from './repository.js';

/** A reference from a page to a file or to a declaration in it. */
export interface CodeReference {
  readonly page: string;
  readonly file: string;
  /** The declared name; empty if the reference is to the whole file. */
  readonly name: string;
}

const referencePattern =
  /`((?:packages|platform|tests|docs)\/[\w./-]+\.(?:ts|mjs|js|json))(?:#([\w.]+))?`/g;

/** Reads all pages that may refer to code: maps the path from the repository's root to the text. */
export const readPages = async (): Promise<ReadonlyMap<string, string>> => {
  const names = await readdir(join(repositoryRoot, 'docs'));
  const pages = names.filter((name) => name.endsWith('.md')).map((name) => join('docs', name));
  const texts = await Promise.all(
    [...pages, 'README.md', 'CONTRIBUTING.md'].map(
      async (page): Promise<readonly [string, string]> => [
        page,
        await readFile(join(repositoryRoot, page), 'utf8'),
      ],
    ),
  );
  return new Map(texts);
};

/** The references in the text of a page, in order of appearance. */
export const referencesIn = (page: string, text: string): readonly CodeReference[] =>
  [...text.matchAll(referencePattern)].map(([, file = '', name = '']) => ({ page, file, name }));

/** Kinds of declarations that can be referenced. A parameter can be only if it also declares a property. */
const declarationTests: readonly ((node: ts.Node) => boolean)[] = [
  ts.isFunctionDeclaration,
  ts.isVariableDeclaration,
  ts.isTypeAliasDeclaration,
  ts.isEnumDeclaration,
  ts.isClassDeclaration,
  ts.isInterfaceDeclaration,
  ts.isClassElement,
  ts.isTypeElement,
  ts.isPropertyAssignment,
  (node) => ts.isParameter(node) && ts.isParameterPropertyDeclaration(node, node.parent),
];

const isDeclaration = (node: ts.Node): node is ts.NamedDeclaration =>
  declarationTests.some((isKind) => isKind(node));

const nameOf = (node: ts.Node): string | undefined => {
  if (!isDeclaration(node) || !node.name) return undefined;
  return ts.isIdentifier(node.name) || ts.isStringLiteral(node.name) ? node.name.text : undefined;
};

/**
 * The names that a source file declares, each as `name` and, if it is inside another declaration, also as `Outer.name`.
 */
export const declaredNames = (file: string, text: string): ReadonlySet<string> => {
  const names = new Set<string>();
  const visit = (node: ts.Node, outer: string): void => {
    const name = nameOf(node);
    if (name !== undefined) {
      names.add(name);
      if (outer !== '') names.add(`${outer}.${name}`);
    }
    ts.forEachChild(node, (child) => {
      visit(child, outer === '' ? (name ?? '') : outer);
    });
  };
  visit(ts.createSourceFile(file, text, ts.ScriptTarget.Latest, true), '');
  return names;
};

/** Describes why a reference is broken; undefined if its file exists and declares the name. */
export const findingOf = async ({
  page,
  file,
  name,
}: CodeReference): Promise<string | undefined> => {
  const text = await readFile(join(repositoryRoot, file), 'utf8').catch(() => undefined);
  if (text === undefined) return `${page}: there is no ${file}`;
  if (name === '' || declaredNames(file, text).has(name)) return undefined;
  return `${page}: ${file} declares no ${name}`;
};
