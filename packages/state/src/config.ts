import { createHash } from 'node:crypto';
import { array, boolean, number, object, string, ValidationError, type InferType } from 'yup';
import { LineCounter, parseDocument, type YAMLParseError } from 'yaml';

const name = () =>
  string()
    .strict()
    .matches(/^[a-z0-9][A-Za-z0-9._-]{0,199}$/, {
      message:
        '${path} must begin with a-z or 0-9 and hold letters, digits, dots, dashes and underscores',
    })
    .required();
const whole = (least: number, most: number) => number().strict().integer().min(least).max(most);

const Share = object({ pool: name(), share: number().strict().min(0).max(1e6).required() })
  .noUnknown()
  .strict();
const PassRules = object({
  manner: string().strict().oneOf(['repeatable', 'once', 'keyed', 'stream']).required(),
  tries: whole(1, 100).default(1),
  deadlineMs: number().strict().moreThan(0).required(),
  aimMs: number().strict().min(0).default(0),
  rank: whole(0, 1000).default(0),
  turnRetentionMs: number().strict().min(0).default(0),
  resumable: boolean().strict().default(false),
  pauseMs: number().strict().min(0).default(0),
})
  .noUnknown()
  .strict();
const Route = object({
  name: name(),
  match: object({
    kind: string().strict().oneOf(['turn', 'call', 'pass']).required(),
    host: string()
      .strict()
      .matches(/^[a-z0-9.-]*$/, { message: '${path} must be a lower-case host name' })
      .default(''),
    path: string()
      .strict()
      .matches(/^\/[A-Za-z0-9/_.~%!$&'()*+,;=:@-]*$/, {
        message: '${path} must begin with / and hold plain characters',
      })
      .required(),
  })
    .noUnknown()
    .strict()
    .required(),
  acting: boolean().strict().default(false),
  urgent: boolean().strict().default(false),
  pass: PassRules.optional().default(undefined),
  shares: array().of(Share.required()).min(1).required(),
})
  .noUnknown()
  .strict();
const Engine = object({
  places: whole(1, 100000).required(),
  memoryTokens: number().strict().moreThan(0).required(),
  blockTokens: number().strict().moreThan(0).required(),
})
  .noUnknown()
  .strict();
const Pool = object({
  name: name(),
  kind: string().strict().oneOf(['model', 'service']).required(),
  connections: whole(0, 1e6).default(0),
  remembersKeys: boolean().strict().default(false),
  check: string()
    .strict()
    .matches(/^(\/[!-~]*)?$/, { message: '${path} must be a path' })
    .default(''),
  engine: Engine.optional().default(undefined),
})
  .noUnknown()
  .strict();
const limits = { headerBytes: 16384, bodyBytes: 1 << 22, headerWaitMs: 5000, idleMs: 60000 };
const File = object({
  base: whole(0, Number.MAX_SAFE_INTEGER).required(),
  version: whole(1, Number.MAX_SAFE_INTEGER).optional(),
  origin: string().strict().optional(),
  changeId: string().strict().optional(),
  pools: array().of(Pool.required()).min(1).required(),
  routes: array().of(Route.required()).min(1).max(100000).required(),
  tuning: boolean().strict().default(true),
  budgets: object({
    program: whole(1, 1e9).default(100000),
    turn: whole(1, 1e6).default(2000),
  })
    .noUnknown()
    .strict()
    .default({ program: 100000, turn: 2000 }),
  bounds: object({
    turnMs: whole(100, 3600000).default(60000),
    callMs: whole(10, 600000).default(5000),
    queue: whole(1, 100000).default(256),
    perServer: whole(1, 10000).default(16),
  })
    .noUnknown()
    .strict()
    .default({ turnMs: 60000, callMs: 5000, queue: 256, perServer: 16 }),
  limits: object({
    headerBytes: whole(1, 1 << 30).default(limits.headerBytes),
    bodyBytes: whole(1, 1 << 30).default(limits.bodyBytes),
    headerWaitMs: number().strict().moreThan(0).default(limits.headerWaitMs),
    idleMs: number().strict().moreThan(0).default(limits.idleMs),
  })
    .noUnknown()
    .strict()
    .default(limits),
})
  .noUnknown()
  .strict();

export type Config = InferType<typeof File>;
export type Route = Config['routes'][number];
export interface Finding {
  readonly place: string;
  readonly text: string;
}
export interface ConfigCheck {
  readonly config: Config | undefined;
  readonly findings: readonly Finding[];
}

const matchOf = (l: Route): string => `${l.match.kind} ${l.match.host}${l.match.path}`;

const routes = (c: Config): readonly Finding[] => {
  const out: Finding[] = [];
  const pools = new Map<string, string>();
  c.pools.forEach((p, i) => {
    if (pools.has(p.name))
      out.push({ place: `pools[${i}].name`, text: `pool ${p.name} is named twice` });
    pools.set(p.name, p.kind);
  });
  if (c.version !== undefined && c.version <= c.base)
    out.push({ place: 'version', text: `version must be above the base ${c.base}` });
  const seen = new Set<string>();
  const matches = new Map<string, string>();
  c.routes.forEach((l, i) => {
    if (seen.has(l.name))
      out.push({ place: `routes[${i}].name`, text: `route ${l.name} is named twice` });
    seen.add(l.name);
    const m = matchOf(l);
    if (l.match.kind === 'pass' && !l.pass)
      out.push({
        place: `routes[${i}].pass`,
        text: 'a pass route says how its requests are carried',
      });
    if (l.match.kind === 'pass' && !l.match.path.endsWith('/'))
      out.push({ place: `routes[${i}].match.path`, text: 'the path of a pass route ends with /' });
    if (l.match.kind !== 'pass' && (l.pass || l.match.host !== ''))
      out.push({
        place: `routes[${i}].match`,
        text: 'only a pass route has a host and rules of carrying',
      });
    const other = matches.get(m);
    if (other !== undefined)
      out.push({ place: `routes[${i}].match`, text: `route ${other} already takes ${m}` });
    matches.set(m, l.name);
    const want = l.match.kind === 'turn' ? 'model' : 'service';
    const named = new Set<string>();
    l.shares.forEach((s, j) => {
      const place = `routes[${i}].shares[${j}].pool`;
      const kind = pools.get(s.pool);
      if (kind === undefined) out.push({ place, text: `pool ${s.pool} is not in this file` });
      else if (l.match.kind !== 'pass' && kind !== want)
        out.push({
          place,
          text: `a ${l.match.kind} route needs a ${want} pool, ${s.pool} is a ${kind} pool`,
        });
      if (named.has(s.pool)) out.push({ place, text: `pool ${s.pool} is named twice` });
      named.add(s.pool);
    });
    if (l.shares.every((s) => s.share === 0))
      out.push({ place: `routes[${i}].shares`, text: 'at least one share must be above 0' });
  });
  return out;
};

export const yamlFindings = (
  errors: readonly YAMLParseError[],
  counter: LineCounter,
): readonly Finding[] =>
  errors.map((e) => {
    const { line, col } = counter.linePos(e.pos[0]);
    return { place: `line ${line}, column ${col}`, text: e.message.split('\n')[0] ?? e.message };
  });

export const yupFindings = (e: unknown): readonly Finding[] => {
  if (!(e instanceof ValidationError)) throw e;
  return (e.inner.length > 0 ? e.inner : [e]).map((x) => ({
    place: x.path ?? '',
    text: x.errors.join('; '),
  }));
};

const canonical = (text: string): unknown => {
  try {
    const value: unknown = JSON.parse(text);
    return JSON.stringify(value) === text ? value : undefined;
  } catch {
    return undefined;
  }
};

export const checkConfig = (text: string): ConfigCheck => {
  const plain = canonical(text);
  if (plain !== undefined) return checkValue(plain);
  const counter = new LineCounter();
  const doc = parseDocument(text, { lineCounter: counter, uniqueKeys: true });
  if (doc.errors.length > 0)
    return { config: undefined, findings: yamlFindings(doc.errors, counter) };
  return checkValue(doc.toJS());
};

/** Keys of earlier files that have another name now; each is an unknown key with a finding of its own. */
const renamedKeys: ReadonlyMap<string, string> = new Map([['lanes', 'routes']]);

const renamedKeyFindings = (value: unknown): readonly Finding[] =>
  value !== null && typeof value === 'object' && !Array.isArray(value)
    ? Object.keys(value).flatMap((key) => {
        const now = renamedKeys.get(key);
        return now === undefined
          ? []
          : [{ place: key, text: `unknown key; it is called ${now} now` }];
      })
    : [];

const checkValue = (value: unknown): ConfigCheck => {
  const renamed = renamedKeyFindings(value);
  if (renamed.length > 0) return { config: undefined, findings: renamed };
  try {
    const config = File.cast(File.validateSync(value, { abortEarly: false, strict: true }));
    const findings = routes(config);
    return { config: findings.length === 0 ? config : undefined, findings };
  } catch (e) {
    return {
      config: undefined,
      findings: yupFindings(e).map((f) => ({ ...f, place: f.place || 'file' })),
    };
  }
};

export const configDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, 32);

export type RouteKind = 'turn' | 'call' | 'pass';
export type RouteTable = ReadonlyMap<string, Route>;

export const buildRouteTable = (config: Config): RouteTable =>
  new Map(config.routes.map((l) => [matchOf(l), l]));

export const findRoute = (table: RouteTable, kind: RouteKind, path: string): Route | undefined => {
  const exact = table.get(`${kind} ${path}`);
  if (exact) return exact;
  for (
    let at = path.lastIndexOf('/');
    at >= 0;
    at = at === 0 ? -1 : path.lastIndexOf('/', at - 1)
  ) {
    const route =
      table.get(`${kind} ${path.slice(0, at + 1)}`) ??
      (at > 0 ? table.get(`${kind} ${path.slice(0, at)}`) : undefined);
    if (route) return route;
  }
  return undefined;
};
