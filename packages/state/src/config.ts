import { createHash } from 'node:crypto';
import { array, boolean, number, object, string, ValidationError, type InferType } from 'yup';
import { LineCounter, parseDocument, type YAMLParseError } from 'yaml';

const name = () => string().strict().matches(/^[a-z0-9][a-z0-9-]{0,62}$/, { message: '${path} must be a lower-case name' }).required();
const whole = (least: number, most: number) => number().strict().integer().min(least).max(most);

const Share = object({ pool: name(), share: whole(0, 1000).required() }).noUnknown().strict();
const Lane = object({
  name: name(),
  match: object({
    kind: string().strict().oneOf(['turn', 'call']).required(),
    path: string().strict().matches(/^\/[A-Za-z0-9/_-]*$/, { message: '${path} must begin with / and hold plain characters' }).required(),
  }).noUnknown().strict().required(),
  acting: boolean().strict().default(false),
  urgent: boolean().strict().default(false),
  shares: array().of(Share.required()).min(1).required(),
}).noUnknown().strict();
const Pool = object({ name: name(), kind: string().strict().oneOf(['model', 'service']).required() }).noUnknown().strict();
const File = object({
  base: whole(0, Number.MAX_SAFE_INTEGER).required(),
  pools: array().of(Pool.required()).min(1).required(),
  lanes: array().of(Lane.required()).min(1).max(10000).required(),
  tuning: boolean().strict().default(true),
  budgets: object({
    program: whole(1, 1e9).default(100000),
    turn: whole(1, 1e6).default(2000),
  }).noUnknown().strict().default({ program: 100000, turn: 2000 }),
  bounds: object({
    turnMs: whole(100, 3600000).default(60000),
    callMs: whole(10, 600000).default(5000),
    line: whole(1, 100000).default(256),
    perServer: whole(1, 10000).default(16),
  }).noUnknown().strict().default({ turnMs: 60000, callMs: 5000, line: 256, perServer: 16 }),
}).noUnknown().strict();

export type Config = InferType<typeof File>;
export type Lane = Config['lanes'][number];
export interface Finding {
  readonly place: string;
  readonly text: string;
}
export interface Checked {
  readonly config: Config | undefined;
  readonly findings: readonly Finding[];
}

const lanes = (c: Config): readonly Finding[] => {
  const out: Finding[] = [];
  const pools = new Map<string, string>();
  c.pools.forEach((p, i) => {
    if (pools.has(p.name)) out.push({ place: `pools[${i}].name`, text: `pool ${p.name} is named twice` });
    pools.set(p.name, p.kind);
  });
  const seen = new Set<string>();
  const matches = new Map<string, string>();
  c.lanes.forEach((l, i) => {
    if (seen.has(l.name)) out.push({ place: `lanes[${i}].name`, text: `lane ${l.name} is named twice` });
    seen.add(l.name);
    const m = `${l.match.kind} ${l.match.path}`;
    const other = matches.get(m);
    if (other !== undefined) out.push({ place: `lanes[${i}].match`, text: `lane ${other} already takes ${m}` });
    matches.set(m, l.name);
    const want = l.match.kind === 'turn' ? 'model' : 'service';
    const named = new Set<string>();
    l.shares.forEach((s, j) => {
      const place = `lanes[${i}].shares[${j}].pool`;
      const kind = pools.get(s.pool);
      if (kind === undefined) out.push({ place, text: `pool ${s.pool} is not in this file` });
      else if (kind !== want) out.push({ place, text: `a ${l.match.kind} lane needs a ${want} pool, ${s.pool} is a ${kind} pool` });
      if (named.has(s.pool)) out.push({ place, text: `pool ${s.pool} is named twice` });
      named.add(s.pool);
    });
    if (l.shares.every((s) => s.share === 0)) out.push({ place: `lanes[${i}].shares`, text: 'at least one share must be above 0' });
  });
  return out;
};

export const yamlFindings = (errors: readonly YAMLParseError[], counter: LineCounter): readonly Finding[] =>
  errors.map((e) => {
    const { line, col } = counter.linePos(e.pos[0]);
    return { place: `line ${line}, column ${col}`, text: e.message.split('\n')[0] ?? e.message };
  });

export const yupFindings = (e: unknown): readonly Finding[] => {
  if (!(e instanceof ValidationError)) throw e;
  return (e.inner.length > 0 ? e.inner : [e]).map((x) => ({ place: x.path ?? '', text: x.errors.join('; ') }));
};

export const checkConfig = (text: string): Checked => {
  const counter = new LineCounter();
  const doc = parseDocument(text, { lineCounter: counter, uniqueKeys: true });
  if (doc.errors.length > 0) return { config: undefined, findings: yamlFindings(doc.errors, counter) };
  try {
    const config = File.cast(File.validateSync(doc.toJS(), { abortEarly: false, strict: true }));
    const findings = lanes(config);
    return { config: findings.length === 0 ? config : undefined, findings };
  } catch (e) {
    return { config: undefined, findings: yupFindings(e).map((f) => ({ ...f, place: f.place || 'file' })) };
  }
};

export const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 32);

export type LaneKind = 'turn' | 'call';
export type Lanes = ReadonlyMap<string, Lane>;

export const lanesOf = (config: Config): Lanes => new Map(config.lanes.map((l) => [`${l.match.kind} ${l.match.path}`, l]));

export const laneFor = (table: Lanes, kind: LaneKind, path: string): Lane | undefined => {
  const exact = table.get(`${kind} ${path}`);
  if (exact) return exact;
  for (let at = path.lastIndexOf('/'); at >= 0; at = at === 0 ? -1 : path.lastIndexOf('/', at - 1)) {
    const lane = table.get(`${kind} ${path.slice(0, at + 1)}`) ?? (at > 0 ? table.get(`${kind} ${path.slice(0, at)}`) : undefined);
    if (lane) return lane;
  }
  return undefined;
};
