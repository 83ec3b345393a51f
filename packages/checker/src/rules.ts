import type { ConfigRecord, RanRecord, Records, ToldRecord } from './records.js';

export interface RuleVerdict {
  readonly rule: string;
  readonly checked: number;
  readonly breaches: readonly string[];
}

export interface Slack {
  readonly leavingMs: number;
  readonly inForceMs: number;
  readonly serveMs: number;
  readonly historyMs: number;
  readonly keyMs: number;
}

export const slack: Slack = { leavingMs: 3300, inForceMs: 2200, serveMs: 12500, historyMs: 60000, keyMs: 60000 };

const group = <T>(rows: readonly T[], key: (t: T) => string): ReadonlyMap<string, readonly T[]> => {
  const out = new Map<string, T[]>();
  for (const r of rows) {
    const k = key(r);
    const list = out.get(k);
    if (list) list.push(r);
    else out.set(k, [r]);
  }
  return out;
};

const opOf = (t: { tenant?: string; key: string }): string => t.key;

const once = (r: Records): RuleVerdict => {
  const acts = group(r.ran.filter((x) => x.kind === 'act' && x.key !== ''), opOf);
  const breaches = [...acts].filter(([, rows]) => rows.length > 1).map(([k, rows]) => `operation ${k} ran ${rows.length} times`);
  return { rule: 'no acting operation runs twice', checked: acts.size, breaches };
};

const sameKey = (r: Records, s: Slack): RuleVerdict => {
  const tries = group(r.told.filter((t) => t.kind === 'call' && t.key !== ''), opOf);
  const acts = group(r.ran.filter((x) => x.kind === 'act'), opOf);
  let checked = 0;
  const breaches: string[] = [];
  for (const [key, rows] of tries) {
    if (rows.length < 2) continue;
    checked++;
    const ran = [...(acts.get(key) ?? [])].sort((a, b) => a.at - b.at);
    for (let i = 1; i < ran.length; i++)
      if ((ran[i]?.at ?? 0) - (ran[i - 1]?.at ?? 0) <= s.keyMs) breaches.push(`two tries of ${key} both ran`);
  }
  return { rule: 'two tries with one key do not both run within a minute', checked, breaches };
};

const endsWith = (said: string, sent: string): boolean => said !== '' && sent.endsWith(said);

const turnRuns = (r: Records): ReadonlyMap<string, readonly RanRecord[]> => group(r.ran.filter((x) => x.kind === 'generate'), (x) => x.said);

const refusedRan = (r: Records): RuleVerdict => {
  const breaches: string[] = [];
  let checked = 0;
  const acts = group(r.ran.filter((x) => x.kind === 'act' && x.key !== ''), opOf);
  for (const [key, tries] of group(r.told.filter((t) => t.kind === 'call' && t.key !== ''), opOf)) {
    if (!tries.some((t) => t.told === 'refused')) continue;
    checked++;
    for (const run of acts.get(key) ?? [])
      if (!tries.some((t) => t.told !== 'refused' && t.from <= run.at)) breaches.push(`call ${key} was told refused and ran`);
  }
  const runs = turnRuns(r);
  for (const [key, tries] of group(r.told.filter((t) => t.kind === 'turn'), (t) => `${t.program} ${t.key}`)) {
    if (!tries.some((t) => t.told === 'refused')) continue;
    checked++;
    const said = (tries[0]?.sent ?? '').slice(-60);
    for (const run of runs.get(said) ?? [])
      if (!tries.some((t) => t.told !== 'refused' && t.from <= run.at)) breaches.push(`turn ${key} was told refused and ran`);
  }
  return { rule: 'what was told refused has not run', checked, breaches };
};

const trueAnswers = (r: Records): RuleVerdict => {
  const breaches: string[] = [];
  const runs = turnRuns(r);
  const acts = group(r.ran.filter((x) => x.kind === 'act'), opOf);
  const done = r.told.filter((t) => t.told === 'done' && (t.kind === 'turn' || t.kind === 'call'));
  for (const t of done) {
    if (t.kind === 'turn') {
      const mine = (runs.get(t.sent.slice(-60)) ?? []).filter((x) => endsWith(x.said, t.sent));
      if (!mine.some((x) => x.complete && x.reply === t.text)) breaches.push(`turn ${t.program} ${t.key} got an answer no server gave it`);
    } else if (t.key !== '') {
      const [by = '', key = ''] = t.text.split(' ');
      if (key !== t.key || !(acts.get(t.key) ?? []).some((x) => x.server === by)) breaches.push(`call ${t.key} got an answer no server gave it`);
    }
  }
  const texts = new Map(r.told.filter((t) => t.kind === 'turn' && t.told === 'done').map((t) => [`${t.program} ${t.turn}`, t.text]));
  for (const t of r.told.filter((x) => x.kind === 'fetch' && x.told === 'done')) {
    const text = texts.get(`${t.program} ${t.turn}`);
    if (text !== undefined && text !== t.text) breaches.push(`turn ${t.program} ${t.turn} was fetched with another text`);
  }
  return { rule: 'no foreign, cut or invented answer', checked: done.length, breaches };
};

const root = (program: string): string => program.split('~')[0] ?? program;

const budgets = (r: Records): RuleVerdict => {
  const breaches: string[] = [];
  const granted = new Map<string, number>();
  for (const t of r.told) if (t.kind === 'program' && t.told === 'done' && t.program === root(t.program)) granted.set(t.program, Number(t.sent));
  const handed = new Map<string, Map<string, number>>();
  for (const t of r.told.filter((x) => x.kind === 'turn')) {
    const of = handed.get(root(t.program)) ?? new Map<string, number>();
    const key = `${t.program} ${t.key}`;
    of.set(key, Math.max(of.get(key) ?? 0, t.pieces.length));
    handed.set(root(t.program), of);
  }
  for (const [program, budget] of granted) {
    const sum = [...(handed.get(program)?.values() ?? [])].reduce((a, b) => a + b, 0);
    if (sum > budget + r.perTurn) breaches.push(`program ${program} handed out ${sum} of ${budget}`);
  }
  return { rule: 'no program hands out more than its budget and one turn', checked: granted.size, breaches };
};

const history = (r: Records, s: Slack): RuleVerdict => {
  const breaches: string[] = [];
  const ended = new Map<string, number>();
  for (const t of r.told) if (t.kind === 'turn' && t.told === 'done') ended.set(`${t.program} ${t.turn}`, t.to);
  let checked = 0;
  for (const t of r.told.filter((x) => x.kind === 'fetch')) {
    const end = ended.get(`${t.program} ${t.turn}`);
    if (end === undefined || t.from < end || t.to - end > s.historyMs) continue;
    checked++;
    if (t.mishap === 'missing') breaches.push(`turn ${t.program} ${t.turn} was reported missing`);
  }
  const programs = new Set(ended.keys());
  for (const t of r.told)
    if (t.kind === 'turn' && t.mishap === 'missing-turn' && [...programs].some((k) => k.startsWith(`${t.program} `)))
      breaches.push(`a turn of ${t.program} did not find the turn it follows`);
  return { rule: 'finished history is not reported missing', checked, breaches };
};

const streams = (r: Records): RuleVerdict => {
  const turns = r.told.filter((t) => t.kind === 'turn' && t.pieces.length > 0);
  const breaches: string[] = [];
  const runs = turnRuns(r);
  for (const t of turns) {
    if (t.pieces.some((n, i) => n !== i)) breaches.push(`turn ${t.program} ${t.key} has pieces ${t.pieces.join(',')}`);
    const mine = runs.get(t.sent.slice(-60)) ?? [];
    if (mine.length > 0 && !mine.some((x) => x.reply.startsWith(t.text))) breaches.push(`turn ${t.program} ${t.key} is stitched`);
  }
  return { rule: 'no stream skips, repeats or stitches', checked: turns.length, breaches };
};

const leaving = (r: Records, s: Slack): RuleVerdict => {
  const breaches: string[] = [];
  for (const l of r.leavings)
    for (const x of r.ran)
      if (x.server === l.server && x.began > l.at + s.leavingMs && x.began < l.until)
        breaches.push(`server ${l.server} got work ${x.began - l.at} ms after its mark`);
  return { rule: 'a leaving server gets nothing new after 3 s', checked: r.leavings.length, breaches };
};

const poolsOf = (c: ConfigRecord, kind: RanRecord['kind']): readonly string[] => (kind === 'generate' ? c.turnPools : c.callPools);

const inForce = (r: Records, s: Slack): RuleVerdict => {
  const acked = r.configs.filter((c) => c.told === 'done').sort((a, b) => a.version - b.version);
  const breaches: string[] = [];
  let checked = 0;
  for (const x of r.ran) {
    const floor = acked.filter((c) => c.toldAt + s.inForceMs < x.began).at(-1);
    if (!floor) continue;
    checked++;
    const may = r.configs.filter((c) => c.told !== 'refused' && c.version >= floor.version && c.sentAt <= x.at);
    if (![floor, ...may].some((c) => poolsOf(c, x.kind).includes(x.pool)))
      breaches.push(`${x.kind} ran in pool ${x.pool} though version ${floor.version} was in force`);
  }
  return { rule: 'an acknowledged configuration is in force and stays', checked: acked.length > 0 ? checked : 0, breaches };
};

const allowed = (r: Records): RuleVerdict => {
  const ever = (kind: RanRecord['kind']): ReadonlySet<string> => new Set(r.configs.filter((c) => c.told !== 'refused').flatMap((c) => poolsOf(c, kind)));
  const turn = ever('generate');
  const call = ever('act');
  const breaches = r.ran.filter((x) => !(x.kind === 'generate' ? turn : call).has(x.pool)).map((x) => `work ran in pool ${x.pool}`);
  return { rule: 'no work reaches a pool never allowed', checked: r.ran.length, breaches };
};

const readBack = (r: Records): RuleVerdict => {
  const acked = r.configs.filter((c) => c.told === 'done').sort((a, b) => a.version - b.version).at(-1);
  if (!acked) return { rule: 'read-back gives the newest acknowledged configuration', checked: 0, breaches: [] };
  const got = r.readBack;
  const maybe = r.configs.some((c) => c.told === 'unknown' && c.version === got?.version && c.text === got.text && c.version > acked.version);
  const ok = got !== undefined && ((got.version === acked.version && got.text === acked.text) || maybe);
  return {
    rule: 'read-back gives the newest acknowledged configuration',
    checked: 1,
    breaches: ok ? [] : [`read back version ${got?.version ?? 'none'}, acknowledged was ${acked.version}`],
  };
};

const restart = (r: Records, s: Slack): RuleVerdict => {
  const breaches: string[] = [];
  for (const x of r.restarts) {
    if (x.servedAt - x.startedAt > s.serveMs) breaches.push(`serving was back after ${x.servedAt - x.startedAt} ms`);
    if (x.configAfter < x.configBefore) breaches.push(`configuration ${x.configBefore} was lost`);
  }
  return { rule: 'after a full stop serving is back within 12 s with its configuration', checked: r.restarts.length, breaches };
};

export const checkRecords = (r: Records, s: Slack = slack): readonly RuleVerdict[] => [
  once(r), sameKey(r, s), refusedRan(r), trueAnswers(r), budgets(r), history(r, s),
  streams(r), leaving(r, s), inForce(r, s), allowed(r), readBack(r), restart(r, s),
];

export const countTold = (told: readonly ToldRecord[]): ReadonlyMap<string, number> => {
  const out = new Map<string, number>();
  for (const t of told) out.set(`${t.kind} ${t.told}`, (out.get(`${t.kind} ${t.told}`) ?? 0) + 1);
  return out;
};

export const countRefusals = (told: readonly ToldRecord[]): ReadonlyMap<string, number> => {
  const out = new Map<string, number>();
  for (const t of told) if (t.told !== 'done') out.set(`${t.told} ${t.mishap || 'no word'}`, (out.get(`${t.told} ${t.mishap || 'no word'}`) ?? 0) + 1);
  return out;
};
