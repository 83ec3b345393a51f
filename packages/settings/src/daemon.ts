import cac from 'cac';
import type { Server } from 'node:http';
import { z } from 'zod';
import { FolderInUseError, JournalCorrupt } from '@tillerstair/journal';
import {
  createLogger,
  sendJson,
  serveHttp,
  type Logger,
  type HttpHandler,
} from '@tillerstair/wire';
import { InvalidSettingsError, readSettings } from './settings.js';

export const version = '0.1.0';

/** A started program. `T` is the type of its settings. */
export interface Running<T = never> {
  stop(): Promise<void>;
  /** Takes over settings that were read again, as far as they may change while the program runs. */
  reload?(settings: T): void;
}

export const stderrLog = (part: string, level: 'debug' | 'info' | 'warn' | 'error'): Logger =>
  createLogger(part, level, (line) => {
    process.stderr.write(`${line}\n`);
  });

const Raw = z.record(z.string(), z.unknown());

const collect = (options: unknown, prefix = ''): ReadonlyMap<string, unknown> => {
  const out = new Map<string, unknown>();
  for (const [k, v] of Object.entries(Raw.parse(options))) {
    if (k === '--' || k === 'help' || k === 'version' || k === 'h' || k === 'v' || k === 'settings')
      continue;
    if (v !== null && typeof v === 'object' && !Array.isArray(v))
      for (const [p, x] of collect(v, `${prefix}${k}.`)) out.set(p, x);
    else out.set(prefix + k, v);
  }
  return out;
};

export interface DaemonSpec<T> {
  readonly name: string;
  readonly about: string;
  readonly schema: z.ZodType<T>;
  readonly flags: readonly (readonly [string, string])[];
  start(daemonSettings: T): Promise<Running<T>>;
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
  const read = (): T =>
    readSettings(spec.schema, typeof file === 'string' ? file : undefined, collect(options));
  await live(spec.name, read, (settings) => spec.start(settings));
};

const findingsText = (e: unknown): string => {
  if (e instanceof InvalidSettingsError)
    return e.findings.map((f) => `${f.place}: ${f.text}`).join('; ');
  return e instanceof Error ? e.message : String(e);
};

/** Reads the settings again and hands them over; bad ones are told in one line and the old ones stay in force. */
const reloadSettings = <T>(name: string, read: () => T, running: Running<T>): void => {
  try {
    running.reload?.(read());
    process.stderr.write(`${name}: Settings were read again.\n`);
  } catch (e) {
    process.stderr.write(`${name}: The settings in force stay: ${findingsText(e)}\n`);
  }
};

/** A failure that nobody waited for is a fault of the program; it is told, and does not end what others rely on. */
const tellUnhandled = (name: string, e: unknown): void => {
  const text = e instanceof Error ? (e.stack ?? e.message) : String(e);
  process.stderr.write(`${name}: A failure was not handled: ${text}\n`);
};

/**
 * Starts a program and keeps it until SIGTERM or SIGINT. SIGHUP reads its settings again; one that comes
 * during the start is met once the program runs. Ends with 2 for bad settings, 3 for a data folder that
 * cannot be used, 1 otherwise.
 */
export const live = async <T>(
  name: string,
  read: () => T,
  start: (settings: T) => Promise<Running<T>>,
): Promise<void> => {
  process.on('unhandledRejection', (e) => tellUnhandled(name, e));
  let reload: (() => void) | undefined;
  let reloadWanted = false;
  process.on('SIGHUP', () => {
    if (reload) reload();
    else reloadWanted = true;
  });
  let running: Running<T>;
  try {
    running = await start(read());
  } catch (e) {
    if (e instanceof InvalidSettingsError) {
      for (const f of e.findings) process.stderr.write(`${name}: ${f.place}: ${f.text}\n`);
      process.exit(2);
    }
    process.stderr.write(`${name}: cannot start: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(e instanceof FolderInUseError || e instanceof JournalCorrupt ? 3 : 1);
  }
  reload = () => reloadSettings(name, read, running);
  if (reloadWanted) reload();
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

export const servePages = (
  addr: string,
  readiness: () => Readiness,
  more?: HttpHandler,
): Promise<Server> =>
  serveHttp(addr, async (req, res, url) => {
    if (url.pathname === '/live') return sendJson(res, 200, { live: true });
    if (url.pathname === '/ready') {
      const r = readiness();
      return sendJson(res, r.ready ? 200 : 503, r);
    }
    if (more) return more(req, res, url);
    sendJson(res, 404, { executed: 'no', errorCode: 'no-such-page' });
  });

export const closeHttp = (server: Server): Promise<void> =>
  new Promise((done) => {
    server.close(() => done());
    server.closeIdleConnections();
  });
