#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import cac from 'cac';
import { z } from 'zod';
import { checkConfig, MarginReport } from '@tillerstair/state';
import { askAny, askAt, CannotAsk, type Back } from './ask.js';
import { NodeViewReply, compare } from './compare.js';
import { fromManifests } from './manifests.js';
import { marginLines, marginWhole } from './margin.js';
import { patchConfig } from './patch.js';

class BadInput extends Error {}

const Held = z.object({ version: z.number(), text: z.string(), digest: z.string() });
const Findings = z.object({ findings: z.array(z.object({ place: z.string(), text: z.string() })) });

interface Options {
  readonly at: readonly string[];
  readonly json: boolean;
  readonly within: number;
  readonly raw: ReadonlyMap<string, unknown>;
}

const optionsOf = (o: object): Options => {
  const raw = new Map<string, unknown>(Object.entries(o));
  const at = String(raw.get('at') ?? process.env['TILLERCTL_AT'] ?? '')
    .split(',')
    .filter((x) => x !== '');
  const within = Number(raw.get('within') ?? 20000);
  if (!(within > 0)) throw new BadInput('--within: must be milliseconds above 0');
  return { at, json: raw.get('json') === true, within, raw };
};

const controls = (o: Options): readonly string[] => {
  if (o.at.length === 0)
    throw new BadInput("--at: name the controls' HTTP addresses, or set TILLERCTL_AT");
  return o.at;
};

const fileText = (file: string): string => {
  try {
    return file === '-' ? readFileSync(0, 'utf8') : readFileSync(file, 'utf8');
  } catch (e) {
    throw new BadInput(`${file}: ${e instanceof Error ? e.message : String(e)}`);
  }
};

const say = (o: Options, body: unknown, plain: () => string): void => {
  console.log(o.json ? JSON.stringify(body) : plain());
};

const report = (o: Options, b: Back, plain: (body: unknown) => string): number => {
  if (b.status >= 200 && b.status < 300) {
    say(o, b.body, () => plain(b.body));
    return 0;
  }
  if (o.json) console.log(JSON.stringify(b.body));
  const findings = Findings.safeParse(b.body);
  if (findings.success)
    for (const f of findings.data.findings)
      process.stderr.write(`tillerctl: ${f.place}: ${f.text}\n`);
  else process.stderr.write(`tillerctl: ${b.status}: ${JSON.stringify(b.body)}\n`);
  if (b.status === 504) {
    process.stderr.write(
      'tillerctl: it is not known whether this took effect; ask for the status, or hand in the same again\n',
    );
    return 3;
  }
  return findings.success ? 2 : 1;
};

const ask = (
  o: Options,
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  path: string,
  body = '',
): Promise<Back> => askAny(controls(o), method, path, body, o.within);

const pretty = (body: unknown): string => JSON.stringify(body, null, 2);

const checked = (file: string, text: string): void => {
  const { findings } = checkConfig(text);
  if (findings.length === 0) return;
  throw new BadInput(findings.map((f) => `${file}: ${f.place}: ${f.text}`).join('\n'));
};

const current = async (o: Options): Promise<z.infer<typeof Held>> => {
  const b = await ask(o, 'GET', '/v1/config');
  const held = Held.safeParse(b.body);
  if (b.status === 404) return { version: 0, text: '', digest: '' };
  if (!held.success)
    throw new CannotAsk(`the configuration cannot be read: ${JSON.stringify(b.body)}`);
  return held.data;
};

const cli = cac('tillerctl');
cli.option('--at <addresses>', "Controls' HTTP addresses, comma-separated (or TILLERCTL_AT)");
cli.option('--json', 'Print JSON');
cli.option('--within <ms>', 'Deadline of one request');

const act = async (work: () => Promise<number>): Promise<void> => {
  try {
    process.exitCode = await work();
  } catch (e) {
    for (const line of (e instanceof Error ? e.message : String(e)).split('\n'))
      process.stderr.write(`tillerctl: ${line}\n`);
    process.exitCode = e instanceof BadInput || e instanceof CannotAsk ? 2 : 1;
  }
};

cli.command('status', 'What the master knows, majority-confirmed').action((x: object) =>
  act(async () => {
    const o = optionsOf(x);
    return report(o, await ask(o, 'GET', '/v1/status'), pretty);
  }),
);

cli
  .command(
    'margin',
    'How many more losses the voting controls and each slot bear now, majority-confirmed',
  )
  .action((x: object) =>
    act(async () => {
      const o = optionsOf(x);
      const back = await ask(o, 'GET', '/v1/margin');
      const got = MarginReport.safeParse(back.body);
      if (!got.success) return report(o, back, pretty);
      say(o, got.data, () => marginLines(got.data).join('\n'));
      return marginWhole(got.data) ? 0 : 1;
    }),
  );

cli
  .command(
    'config <verb> [...files]',
    'get; check FILE; put FILE; patch FILE (a change merged into the current whole file); from-manifests FILE...',
  )
  .option('--base <version>', 'With from-manifests: the version the file builds on')
  .option('--rebase', 'With put: name the current version as the base')
  .action((verb: string, files: readonly string[], x: object) =>
    act(async () => {
      const o = optionsOf(x);
      const [file] = files;
      if (verb === 'from-manifests') {
        if (file === undefined) throw new BadInput('config from-manifests: name files');
        const base = Number(o.raw.get('base') ?? 0);
        if (!Number.isInteger(base) || base < 0) throw new BadInput('--base: must be a version');
        const got = fromManifests(
          files.map((f) => [f, fileText(f)] as const),
          base,
        );
        if (got.text === undefined)
          throw new BadInput(got.findings.map((f) => `${f.place}: ${f.text}`).join('\n'));
        process.stdout.write(got.text);
        return 0;
      }
      if (verb === 'get') {
        const held = await current(o);
        if (held.version === 0) {
          process.stderr.write('tillerctl: no configuration has been handed in\n');
          return 1;
        }
        process.stdout.write(o.json ? `${JSON.stringify(held)}\n` : held.text);
        return 0;
      }
      if (!['check', 'put', 'patch'].includes(verb))
        throw new BadInput(`config ${verb}: must be get, check, put, patch or from-manifests`);
      if (file === undefined || files.length > 1)
        throw new BadInput(`config ${verb}: name one file`);
      const text = fileText(file);
      if (verb === 'check') {
        checked(file, text);
        say(o, { findings: [] }, () => 'no findings');
        return 0;
      }
      const held = verb === 'patch' || o.raw.get('rebase') === true ? await current(o) : undefined;
      const whole = !held
        ? text
        : verb === 'patch'
          ? patchConfig(held.text, text, held.version)
          : text.replace(/^(\s*"?base"?\s*:\s*)\d+/m, `$1${held.version}`);
      checked(file, whole);
      return report(o, await ask(o, 'PUT', '/v1/config', whole), pretty);
    }),
  );

cli
  .command('server <verb> <id> [pool] [url]', 'add ID POOL URL; draining ID; remove ID')
  .action(
    (verb: string, id: string, pool: string | undefined, url: string | undefined, x: object) =>
      act(async () => {
        const o = optionsOf(x);
        const path = `/v1/servers/${encodeURIComponent(id)}`;
        if (verb === 'add') {
          if (pool === undefined || url === undefined)
            throw new BadInput('server add: name ID POOL URL');
          return report(o, await ask(o, 'PUT', path, JSON.stringify({ pool, url })), pretty);
        }
        if (verb === 'draining') return report(o, await ask(o, 'POST', `${path}/draining`), pretty);
        if (verb === 'remove') return report(o, await ask(o, 'DELETE', path), pretty);
        throw new BadInput(`server ${verb}: must be add, draining or remove`);
      }),
  );

const toggled = (name: string, about: string, path: (id: string) => string): void => {
  cli
    .command(`${name} <node>`, about)
    .option('--cancel', 'Take it back')
    .action((id: string, x: object) =>
      act(async () => {
        const o = optionsOf(x);
        return report(
          o,
          await ask(
            o,
            o.raw.get('cancel') === true ? 'DELETE' : 'POST',
            path(encodeURIComponent(id)),
          ),
          pretty,
        );
      }),
    );
};
toggled('drain', "Move a front's slots to the others", (id) => `/v1/fronts/${id}/drain`);
toggled('empty-store', "Move a store's replicas to the others", (id) => `/v1/stores/${id}/empty`);

cli
  .command('control <verb> <node>', 'add NODE to the voting controls; remove NODE from them')
  .action((verb: string, id: string, x: object) =>
    act(async () => {
      const o = optionsOf(x);
      if (verb !== 'add' && verb !== 'remove')
        throw new BadInput(`control ${verb}: must be add or remove`);
      return report(
        o,
        await ask(o, verb === 'add' ? 'POST' : 'DELETE', `/v1/controls/${encodeURIComponent(id)}`),
        pretty,
      );
    }),
  );

cli
  .command(
    'compare <a> <b>',
    'What two nodes believe, by their HTTP addresses: only the differences',
  )
  .action((a: string, b: string, x: object) =>
    act(async () => {
      const o = optionsOf(x);
      const within = o.raw.has('within') ? o.within : 3000;
      const both = await Promise.allSettled(
        [a, b].map(async (at) =>
          NodeViewReply.parse((await askAt(at, 'GET', '/v1/view', '', within)).body),
        ),
      );
      const why = both.flatMap((r) =>
        r.status === 'rejected'
          ? [String(r.reason instanceof Error ? r.reason.message : r.reason)]
          : [],
      );
      if (why.length > 0) throw new CannotAsk(why.join('\n'));
      const [x1, x2] = both.flatMap((r) => (r.status === 'fulfilled' ? [r.value] : []));
      if (!x1 || !x2) throw new CannotAsk('no reply');
      const c = compare(x1, x2);
      say(o, c, () =>
        c.differences.length === 0
          ? 'same'
          : [
              `newer: ${c.newer === 'same' ? 'neither' : c.newer === 'a' ? a : b}`,
              ...c.differences.map((d) => `${d.fact}\n  ${a}: ${d.a}\n  ${b}: ${d.b}`),
            ].join('\n'),
      );
      return c.differences.length === 0 ? 0 : 1;
    }),
  );

cli.help();
cli.version('0.1.0');
try {
  cli.parse(process.argv, { run: false });
  if (!cli.matchedCommand && !cli.options['help'] && !cli.options['version'])
    throw new Error('name a command; see tillerctl --help');
  await cli.runMatchedCommand();
} catch (e) {
  process.stderr.write(`tillerctl: ${e instanceof Error ? e.message : String(e)}\n`);
  process.exitCode = 2;
}
