import cac from 'cac';
import type { Server } from 'node:http';
import { z } from 'zod';
import { FolderTaken, JournalCorrupt } from '@tillerstair/journal';
import { logTo, sendJson, serveHttp, type Log, type Page } from '@tillerstair/wire';
import { BadEnv, readEnv } from './env.js';

export const version = '0.1.0';

export interface Running {
  stop(): Promise<void>;
}

export const stderrLog = (part: string, level: 'debug' | 'info' | 'warn' | 'error'): Log =>
  logTo(part, level, (line) => {
    process.stderr.write(`${line}\n`);
  });

const Raw = z.record(z.string(), z.unknown());

const collect = (options: unknown, prefix = ''): ReadonlyMap<string, unknown> => {
  const out = new Map<string, unknown>();
  for (const [k, v] of Object.entries(Raw.parse(options))) {
    if (k === '--' || k === 'help' || k === 'version' || k === 'h' || k === 'v' || k === 'settings') continue;
    if (v !== null && typeof v === 'object' && !Array.isArray(v)) for (const [p, x] of collect(v, `${prefix}${k}.`)) out.set(p, x);
    else out.set(prefix + k, v);
  }
  return out;
};

export interface DaemonSpec<T> {
  readonly name: string;
  readonly about: string;
  readonly schema: z.ZodType<T>;
  readonly flags: readonly (readonly [string, string])[];
  start(env: T): Promise<Running>;
}

export const runDaemon = async <T>(spec: DaemonSpec<T>): Promise<void> => {
  const cli = cac(spec.name);
  cli.option('--settings <file>', 'A YAML or JSON file of settings');
  for (const [flag, about] of spec.flags) cli.option(`--${flag} <value>`, about);
  cli.option('--bounds.<name> <ms>', 'Any of the bounds, as in --bounds.serveWithin 12000');
  cli.usage(`[flags]\n\n  ${spec.about}`);
  cli.help();
  cli.version(version);
  const { options } = cli.parse(process.argv, { run: false });
  if (options['help'] || options['version']) return;
  const file: unknown = options['settings'];
  await live(spec.name, () => spec.start(readEnv(spec.schema, typeof file === 'string' ? file : undefined, collect(options))));
};

/** Starts a program and keeps it until SIGTERM or SIGINT; ends with 2 for bad settings, 3 for a data folder that cannot be used, 1 otherwise. */
export const live = async (name: string, start: () => Promise<Running>): Promise<void> => {
  let running: Running;
  try {
    running = await start();
  } catch (e) {
    if (e instanceof BadEnv) {
      for (const f of e.findings) process.stderr.write(`${name}: ${f.place}: ${f.text}\n`);
      process.exit(2);
    }
    process.stderr.write(`${name}: cannot start: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(e instanceof FolderTaken || e instanceof JournalCorrupt ? 3 : 1);
  }
  let stopping = false;
  const stop = (): void => {
    if (stopping) return;
    stopping = true;
    running.stop().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
};

export interface Readiness {
  readonly ready: boolean;
  readonly why: string;
}

export const servePages = (addr: string, readiness: () => Readiness, more?: Page): Promise<Server> =>
  serveHttp(addr, async (req, res, url) => {
    if (url.pathname === '/live') return sendJson(res, 200, { live: true });
    if (url.pathname === '/ready') {
      const r = readiness();
      return sendJson(res, r.ready ? 200 : 503, r);
    }
    if (more) return more(req, res, url);
    sendJson(res, 404, { ran: 'no', mishap: 'no-such-page' });
  });

export const closeHttp = (server: Server): Promise<void> =>
  new Promise((done) => {
    server.close(() => done());
    server.closeIdleConnections();
  });
