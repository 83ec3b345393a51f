import { configHistory } from './config-history.js';
import { passRules } from './pass-rules.js';
import type { ConfigRecord, ExecutionRecord, Records, ReplyRecord } from './records.js';
import { group, slack, type RuleResult, type Slack } from './results.js';

export const operationOf = (tenant: string, key: string): string =>
  `${encodeURIComponent(tenant)}/${encodeURIComponent(key)}`;
const opOf = (t: ReplyRecord): string => operationOf(t.tenant, t.key);
const actsOf = (r: Records): ReadonlyMap<string, readonly ExecutionRecord[]> =>
  group(
    r.executed.filter((x) => x.kind === 'act' && x.key !== ''),
    (x) => x.key,
  );

const once = (r: Records): RuleResult => {
  const acts = actsOf(r);
  const breaches = [...acts]
    .filter(([, rows]) => rows.length > 1)
    .map(([k, rows]) => `operation ${k} executed ${rows.length} times`);
  return { rule: 'no acting operation runs twice', checked: acts.size, breaches };
};

const sameKey = (r: Records, s: Slack): RuleResult => {
  const acts = actsOf(r);
  let checked = 0;
  const breaches: string[] = [];
  for (const [key, rows] of group(
    r.reported.filter((t) => t.kind === 'call' && t.key !== ''),
    opOf,
  )) {
    if (rows.length < 2) continue;
    const executed = [...(acts.get(key) ?? [])].sort((a, b) => a.at - b.at);
    if (executed.length > 0) checked++;
    for (let i = 1; i < executed.length; i++)
      if ((executed[i]?.at ?? 0) - (executed[i - 1]?.at ?? 0) <= s.keyMs)
        breaches.push(`two tries of ${key} both ran`);
  }
  return { rule: 'two tries with one key do not both run within a minute', checked, breaches };
};

const endsWith = (said: string, sent: string): boolean => said !== '' && sent.endsWith(said);
const runKey = (program: string, said: string): string => `${program}\n${said.slice(-60)}`;

const turnRuns = (r: Records): ReadonlyMap<string, readonly ExecutionRecord[]> =>
  group(
    r.executed.filter((x) => x.kind === 'generate'),
    (x) => runKey(x.program, x.said),
  );

const refusedExecuted = (r: Records): RuleResult => {
  const refused = new Set(
    r.reported.filter((t) => t.reported === 'refused' && t.attempt !== '').map((t) => t.attempt),
  );
  const breaches = r.executed
    .filter((x) => refused.has(x.attempt))
    .map((x) => `${x.kind} of try ${x.attempt} was told refused and ran`);
  return { rule: 'what was told refused has not run', checked: refused.size, breaches };
};

const trueAnswers = (r: Records): RuleResult => {
  const breaches: string[] = [];
  const runs = turnRuns(r);
  const acts = actsOf(r);
  const done = r.reported.filter(
    (t) => t.reported === 'done' && (t.kind === 'turn' || (t.kind === 'call' && t.key !== '')),
  );
  for (const t of done) {
    if (t.kind === 'turn') {
      const mine = (runs.get(runKey(t.program, t.sent)) ?? []).filter((x) =>
        endsWith(x.said, t.sent),
      );
      if (!mine.some((x) => x.complete && x.reply === t.text))
        breaches.push(`turn ${t.program} ${t.key} got an answer no server gave it`);
    } else {
      const [by = '', key = ''] = t.text.split(' ');
      if (key !== opOf(t) || !(acts.get(key) ?? []).some((x) => x.server === by))
        breaches.push(`call ${opOf(t)} got an answer no server gave it`);
    }
  }
  const texts = new Map(
    r.reported
      .filter((t) => t.kind === 'turn' && t.reported === 'done')
      .map((t) => [`${t.program} ${t.turn}`, t.text]),
  );
  for (const t of r.reported.filter((x) => x.kind === 'fetch' && x.reported === 'done')) {
    const text = texts.get(`${t.program} ${t.turn}`);
    if (text !== undefined && text !== t.text)
      breaches.push(`turn ${t.program} ${t.turn} was fetched with another text`);
  }
  return { rule: 'no foreign, cut or invented answer', checked: done.length, breaches };
};

const root = (program: string): string => program.split('~')[0] ?? program;

const budgets = (r: Records): RuleResult => {
  const breaches: string[] = [];
  const granted = new Map<string, number>();
  for (const t of r.reported)
    if (t.kind === 'program' && t.reported === 'done' && t.program === root(t.program))
      granted.set(t.program, Number(t.sent));
  const handed = new Map<string, Map<string, number>>();
  for (const t of r.reported.filter((x) => x.kind === 'turn')) {
    const of = handed.get(root(t.program)) ?? new Map<string, number>();
    const key = `${t.program} ${t.key}`;
    of.set(key, Math.max(of.get(key) ?? 0, t.chunks.length));
    handed.set(root(t.program), of);
  }
  const made = new Map<string, number>();
  for (const x of r.executed.filter((y) => y.kind === 'generate'))
    made.set(root(x.program), (made.get(root(x.program)) ?? 0) + x.tokens);
  for (const [program, budget] of granted) {
    const sum = [...(handed.get(program)?.values() ?? [])].reduce((a, b) => a + b, 0);
    if (sum > budget + r.perTurn)
      breaches.push(`program ${program} handed out ${sum} of ${budget}`);
    if ((made.get(program) ?? 0) > budget + r.perTurn)
      breaches.push(
        `servers made ${made.get(program) ?? 0} tokens for program ${program} of ${budget}`,
      );
  }
  const checked = [...granted].filter(([p, budget]) => (made.get(p) ?? 0) > budget / 2).length;
  return { rule: 'no program hands out more than its budget and one turn', checked, breaches };
};

const history = (r: Records, s: Slack): RuleResult => {
  const breaches: string[] = [];
  const seen = new Map<string, number>();
  const touch = (id: string, at: number): void => {
    seen.set(id, Math.max(seen.get(id) ?? -Infinity, at));
  };
  const sorted = [...r.reported].sort((a, b) => a.to - b.to);
  let checked = 0;
  const judge = (t: ReplyRecord, id: string, words: readonly string[], what: string): void => {
    const at = seen.get(id);
    if (at === undefined || t.from < at || t.to - at > s.historyMs) return;
    checked++;
    if (words.includes(t.errorCode))
      breaches.push(`${what} was reported missing ${t.to - at} ms after it ended`);
  };
  for (const t of sorted) {
    if (t.kind === 'fetch' && t.turn !== '')
      judge(t, `${t.program} ${t.turn}`, ['missing'], `turn ${t.program} ${t.turn}`);
    if (t.kind === 'turn') judge(t, t.program, ['missing'], `program ${t.program}`);
    if (t.kind === 'turn' && t.after !== '')
      judge(
        t,
        `${t.program} ${t.after}`,
        ['missing', 'missing-turn'],
        `turn ${t.program} ${t.after}, followed by another,`,
      );
    if (t.reported !== 'done') continue;
    if (t.kind === 'program') touch(t.program, t.to);
    if (t.kind === 'turn') touch(t.program, t.to);
    if (t.kind === 'turn' && !seen.has(`${t.program} ${t.turn}`))
      touch(`${t.program} ${t.turn}`, t.to);
  }
  return { rule: 'finished history is not reported missing', checked, breaches };
};

const streams = (r: Records): RuleResult => {
  const turns = r.reported.filter((t) => t.kind === 'turn' && t.chunks.length > 0);
  const breaches: string[] = [];
  const runs = turnRuns(r);
  for (const t of turns) {
    if (t.chunks.some((n, i) => n !== i))
      breaches.push(`turn ${t.program} ${t.key} has chunks ${t.chunks.join(',')}`);
    const mine = runs.get(runKey(t.program, t.sent)) ?? [];
    if (!mine.some((x) => x.reply.startsWith(t.text)))
      breaches.push(`turn ${t.program} ${t.key} is stitched`);
  }
  return { rule: 'no stream skips, repeats or stitches', checked: turns.length, breaches };
};

const draining = (r: Records, s: Slack): RuleResult => {
  const breaches: string[] = [];
  let checked = 0;
  const poolOf = new Map(r.executed.map((x) => [x.server, x.pool]));
  for (const l of r.drainings)
    for (const x of r.executed) {
      if (x.began <= l.at + s.drainingMs || x.began >= l.until) continue;
      if (x.server === l.server)
        breaches.push(`server ${l.server} got work ${x.began - l.at} ms after its mark`);
      else if (x.pool === poolOf.get(l.server)) checked++;
    }
  return { rule: 'a draining server gets nothing new after 3 s', checked, breaches };
};

const shares = (r: Records): RuleResult => {
  const breaches: string[] = [];
  let checked = 0;
  for (const w of r.shares) {
    const total = w.shares.reduce((n, [, share]) => n + share, 0);
    const mine = r.executed.filter((x) => x.kind === w.kind && x.began >= w.from && x.began < w.to);
    for (const [pool, share] of w.shares) {
      const got = mine.filter((x) => x.pool === pool).length;
      const want = (mine.length * share) / total;
      if (mine.length > w.rounding * 4) checked++;
      if (Math.abs(got - want) > (share === 0 ? 0 : w.rounding))
        breaches.push(
          `pool ${pool} got ${got} of ${mine.length}, its share is ${share} of ${total}`,
        );
    }
  }
  return { rule: 'work is split by the shares the operator gave', checked, breaches };
};

const poolsOf = (c: ConfigRecord, kind: ExecutionRecord['kind']): readonly string[] =>
  kind === 'pass'
    ? [...c.turnPools, ...c.callPools]
    : kind === 'generate'
      ? c.turnPools
      : c.callPools;

const inForce = (r: Records, s: Slack): RuleResult => {
  const acked = r.configs
    .filter((c) => c.reported === 'done')
    .sort((a, b) => a.version - b.version);
  const breaches: string[] = [];
  let checked = 0;
  for (const x of r.executed) {
    const floor = acked.filter((c) => c.reportedAt + s.inForceMs < x.began).at(-1);
    if (!floor) continue;
    const older = r.configs.filter((c) => c.version < floor.version && c.reported !== 'refused');
    if (older.some((c) => poolsOf(c, x.kind).some((p) => !poolsOf(floor, x.kind).includes(p))))
      checked++;
    const may = r.configs.filter(
      (c) => c.reported !== 'refused' && c.version >= floor.version && c.sentAt <= x.began,
    );
    if (!may.some((c) => poolsOf(c, x.kind).includes(x.pool)))
      breaches.push(`${x.kind} ran in pool ${x.pool} though version ${floor.version} was in force`);
  }
  return { rule: 'an acknowledged configuration is in force and stays', checked, breaches };
};

const allowed = (r: Records): RuleResult => {
  const real = r.configs.filter((c) => c.reported !== 'refused');
  const breaches = r.executed
    .filter((x) => !real.some((c) => c.sentAt <= x.began && poolsOf(c, x.kind).includes(x.pool)))
    .map((x) => `work ran in pool ${x.pool}`);
  return { rule: 'no work reaches a pool never allowed', checked: r.executed.length, breaches };
};

const readBack = (r: Records): RuleResult => {
  const acked = r.configs
    .filter((c) => c.reported === 'done')
    .sort((a, b) => a.version - b.version)
    .at(-1);
  if (!acked)
    return {
      rule: 'read-back gives the newest acknowledged configuration',
      checked: 0,
      breaches: [],
    };
  const got = r.readBack;
  const maybe = r.configs.some(
    (c) =>
      c.reported === 'unknown' &&
      c.version === got?.version &&
      c.text === got.text &&
      c.version > acked.version,
  );
  const ok =
    got !== undefined && ((got.version === acked.version && got.text === acked.text) || maybe);
  return {
    rule: 'read-back gives the newest acknowledged configuration',
    checked: 1,
    breaches: ok
      ? []
      : [`read back version ${got?.version ?? 'none'}, acknowledged was ${acked.version}`],
  };
};

const restart = (r: Records, s: Slack): RuleResult => {
  const breaches: string[] = [];
  for (const x of r.restarts) {
    if (x.servedAt - x.startedAt > s.serveMs)
      breaches.push(`serving was back after ${x.servedAt - x.startedAt} ms`);
    if (x.configAfter < x.configBefore) breaches.push(`configuration ${x.configBefore} was lost`);
  }
  return {
    rule: 'after a full stop serving is back within 12 s with its configuration',
    checked: r.restarts.length,
    breaches,
  };
};

export const checkRecords = (r: Records, s: Slack = slack): readonly RuleResult[] => [
  once(r),
  sameKey(r, s),
  refusedExecuted(r),
  trueAnswers(r),
  budgets(r),
  history(r, s),
  streams(r),
  draining(r, s),
  shares(r),
  inForce(r, s),
  allowed(r),
  readBack(r),
  configHistory(r.configCalls),
  restart(r, s),
  ...passRules(r, s),
];

export const countReported = (reported: readonly ReplyRecord[]): ReadonlyMap<string, number> => {
  const out = new Map<string, number>();
  for (const t of reported)
    out.set(`${t.kind} ${t.reported}`, (out.get(`${t.kind} ${t.reported}`) ?? 0) + 1);
  return out;
};

export const countRefusals = (reported: readonly ReplyRecord[]): ReadonlyMap<string, number> => {
  const out = new Map<string, number>();
  for (const t of reported)
    if (t.reported !== 'done')
      out.set(
        `${t.reported} ${t.errorCode || 'no word'}`,
        (out.get(`${t.reported} ${t.errorCode || 'no word'}`) ?? 0) + 1,
      );
  return out;
};
