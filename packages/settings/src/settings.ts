import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import { parseDocument } from 'yaml';
import { z } from 'zod';

export interface Finding {
  readonly place: string;
  readonly text: string;
}

export class InvalidSettingsError extends Error {
  constructor(readonly findings: readonly Finding[]) {
    super(findings.map((f) => `${f.place}: ${f.text}`).join('\n'));
  }
}

const addr = z.string().refine(
  (s) => {
    const at = s.lastIndexOf(':');
    const port = Number(s.slice(at + 1));
    return (
      at > 0 &&
      isIP(s.slice(0, at).replace(/^\[|\]$/g, '')) !== 0 &&
      Number.isInteger(port) &&
      port > 0 &&
      port < 65536
    );
  },
  { message: 'must be an IP number and a port, as in 10.0.0.1:7400' },
);
const ms = (least: number, most: number, def: number) =>
  z.number().int().min(least).max(most).default(def);

const Bounds = z
  .strictObject({
    serveWithin: ms(1000, 120000, 12000),
    inForceWithin: ms(100, 60000, 2000),
    drainingWithin: ms(300, 60000, 3000),
    heartbeatInterval: ms(20, 60000, 1000),
    failureTimeout: ms(60, 180000, 3000),
  })
  .prefault({});

const Common = {
  zone: z.string().regex(/^[a-z0-9-]{1,64}$/, { message: 'must be a short lower-case name' }),
  http: addr,
  log: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  bounds: Bounds,
};
const Linked = {
  addr,
  listen: addr.optional(),
  name: z.string().max(200).default(''),
  seeds: z.array(addr).length(3, { message: 'must be three addresses' }),
};

export const ControlSettings = z.strictObject({
  ...Common,
  ...Linked,
  data: z.string().min(1),
  slots: z.number().int().min(8).max(4096).default(64),
  losses: z.number().int().min(1).max(7).default(1),
  mayBootstrap: z.boolean().default(true),
  journalLongAt: z
    .number()
    .int()
    .min(65536)
    .default(4 << 20),
});
export type ControlSettings = z.infer<typeof ControlSettings>;

export const StoreSettings = z.strictObject({
  ...Common,
  ...Linked,
  data: z.string().min(1),
  journalLongAt: z
    .number()
    .int()
    .min(65536)
    .default(32 << 20),
  retentionMs: z.number().int().min(60000).default(3600000),
  hintsMost: z.number().int().min(100).default(100000),
});
export type StoreSettings = z.infer<typeof StoreSettings>;

export const AgentSettings = z.strictObject({
  ...Common,
  ...Linked,
  proxy: addr,
  stopWithin: ms(100, 600000, 5000),
});
export type AgentSettings = z.infer<typeof AgentSettings>;

export const ProxySettings = z.strictObject({
  ...Common,
  addr,
  listen: addr.optional(),
  feed: addr,
  bodyMost: z
    .number()
    .int()
    .min(1024)
    .default(1 << 20),
  affinity: z.boolean().default(true),
  asksServers: z.boolean().default(true),
  retentionMs: z.number().int().min(60000).default(3600000),
  stopWithin: ms(100, 600000, 5000),
});
export type ProxySettings = z.infer<typeof ProxySettings>;

const flagValue = (path: string, v: unknown): unknown => {
  if (path === 'seeds') return String(v).split(',');
  if (v === 'true' || v === 'false') return v === 'true';
  if (typeof v === 'string' && /^-?\d+$/.test(v)) return Number(v);
  return v;
};

const withFlag = (into: Map<string, unknown>, path: string, v: unknown): void => {
  const [head = '', ...rest] = path.split('.');
  if (rest.length === 0) {
    into.set(head, flagValue(path, v));
    return;
  }
  const old = into.get(head);
  const inner = new Map<string, unknown>(
    old !== null && typeof old === 'object' ? Object.entries(old) : [],
  );
  withFlag(inner, rest.join('.'), v);
  into.set(head, Object.fromEntries(inner));
};

export const readSettings = <T>(
  schema: z.ZodType<T>,
  file: string | undefined,
  flags: ReadonlyMap<string, unknown>,
): T => {
  const all = new Map<string, unknown>();
  const findings: Finding[] = [];
  if (file !== undefined) {
    try {
      const doc = parseDocument(readFileSync(file, 'utf8'));
      for (const e of doc.errors)
        findings.push({
          place: `${file}:${e.linePos?.[0].line ?? 0}`,
          text: e.message.split('\n')[0] ?? '',
        });
      const v: unknown = doc.toJS();
      if (v !== null && typeof v === 'object' && !Array.isArray(v))
        for (const [k, x] of Object.entries(v)) all.set(k, x);
      else findings.push({ place: file, text: 'must hold a table of settings' });
    } catch (e) {
      findings.push({ place: file, text: e instanceof Error ? e.message : String(e) });
    }
  }
  for (const [k, v] of flags) withFlag(all, k, v);
  const got = schema.safeParse(Object.fromEntries(all));
  if (!got.success)
    for (const i of got.error.issues) {
      const path = i.path.map(String).join('.');
      const from = flags.has(path) ? `--${path}` : (file ?? 'flags');
      findings.push({
        place: `${from}${path && !flags.has(path) ? ` ${path}` : ''}`,
        text: i.message,
      });
    }
  if (findings.length > 0 || !got.success) throw new InvalidSettingsError(findings);
  return got.data;
};
