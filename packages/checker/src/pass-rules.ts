import type { PassRecord, ExecutionRecord, Records } from './records.js';
import { group, type RuleResult, type Slack } from './results.js';

const runsOf = (r: Records): readonly ExecutionRecord[] =>
  r.executed.filter((x) => x.kind === 'pass');
const mayRepeat = (p: PassRecord): boolean =>
  p.manner === 'repeatable' || (p.manner === 'stream' && p.resumable);

/** The whole events of an answer: id and data, in order. */
export const eventsOf = (body: string): readonly { readonly id: number; readonly data: string }[] =>
  body.split('\n\n').flatMap((block) => {
    const id = /^id: (\d+)$/m.exec(block)?.[1];
    const data = block.split('\n').flatMap((l) => (l.startsWith('data: ') ? [l.slice(6)] : []));
    return id !== undefined && data.length > 0 ? [{ id: Number(id), data: data.join('\n') }] : [];
  });

export const outputOf = (body: string): string =>
  eventsOf(body)
    .map((e) => `${e.data}\n`)
    .join('');

const once = (r: Records): RuleResult => {
  const byAttempt = group(runsOf(r), (x) => x.attempt);
  const breaches: string[] = [];
  const bare = r.passes.filter((p) => !mayRepeat(p));
  for (const p of bare)
    if ((byAttempt.get(p.attempt) ?? []).length > 1)
      breaches.push(`try ${p.attempt} on ${p.path} ran more than once`);
  const keyed = group(
    runsOf(r).filter((x) => x.key !== ''),
    (x) => x.key,
  );
  for (const [key, runs] of keyed)
    if (runs.length > 1) breaches.push(`key ${key} of a pass route ran ${runs.length} times`);
  return {
    rule: 'no pass that may not be repeated runs twice',
    checked: bare.filter((p) => byAttempt.has(p.attempt)).length,
    breaches,
  };
};

const refused = (r: Records): RuleResult => {
  const executed = new Set(runsOf(r).map((x) => x.attempt));
  const rows = r.passes.filter((p) => p.reported === 'refused' && !(p.manner === 'repeatable'));
  const breaches = rows
    .filter((p) => executed.has(p.attempt))
    .map((p) => `try ${p.attempt} on ${p.path} was told refused (${p.errorCode}) and ran`);
  return {
    rule: 'what was told refused on a pass route has not run',
    checked: rows.length,
    breaches,
  };
};

const known = (r: Records): RuleResult => {
  const tries = new Map(r.passes.map((p) => [p.attempt, p]));
  const breaches = runsOf(r)
    .filter((x) => !tries.has(x.attempt))
    .map((x) => `server ${x.server} ran try ${x.attempt}, which nobody sent`);
  return { rule: 'no pass runs that nobody sent', checked: runsOf(r).length, breaches };
};

const whole = (r: Records): RuleResult => {
  const byAttempt = group(runsOf(r), (x) => x.attempt);
  const byKey = group(
    runsOf(r).filter((x) => x.key !== ''),
    (x) => x.key,
  );
  const breaches: string[] = [];
  const done = r.passes.filter((p) => p.reported === 'done');
  for (const p of done) {
    const runs = (p.key !== '' ? byKey.get(p.key) : byAttempt.get(p.attempt)) ?? [];
    const bytes = runs.some((x) => x.complete && x.reply === p.body);
    const joined =
      p.manner === 'stream' &&
      p.resumable &&
      runs.some((x) => x.complete && p.body.endsWith(x.reply));
    if (!bytes && !joined)
      breaches.push(`try ${p.attempt} on ${p.path} got an answer no server gave`);
  }
  for (const [key, reported] of group(
    done.filter((p) => p.key !== ''),
    (p) => p.key,
  ))
    if (new Set(reported.map((p) => p.body)).size > 1) breaches.push(`key ${key} got two answers`);
  return { rule: "a pass told done has its server's bytes", checked: done.length, breaches };
};

const streams = (r: Records): RuleResult => {
  const byAttempt = group(runsOf(r), (x) => x.attempt);
  const rows = r.passes.filter((p) => p.manner === 'stream' && p.body !== '');
  const breaches: string[] = [];
  for (const p of rows) {
    const events = eventsOf(p.body);
    const made = (byAttempt.get(p.attempt) ?? []).map((x) => x.reply);
    if (!p.body.endsWith('\n\n')) breaches.push(`try ${p.attempt} got a torn event`);
    if (events.some((e, i) => e.id !== i))
      breaches.push(`try ${p.attempt} has events ${events.map((e) => e.id).join(',')}`);
    if (!p.resumable && !made.some((reply) => reply.startsWith(p.body)))
      breaches.push(`try ${p.attempt} is stitched`);
    if (
      p.body
        .split('\n\n')
        .some((e) => e !== '' && !made.some((reply) => reply.includes(`${e}\n\n`)))
    )
      breaches.push(`try ${p.attempt} has an event no server made`);
  }
  return {
    rule: 'no stream on a pass route skips, repeats or tears',
    checked: rows.length,
    breaches,
  };
};

const chains = (r: Records): RuleResult => {
  const tries = new Map(r.passes.map((p) => [p.attempt, p]));
  const breaches: string[] = [];
  let checked = 0;
  for (const x of runsOf(r)) {
    const p = tries.get(x.attempt);
    if (!p) continue;
    let want = p.input;
    let at = p.after;
    for (let up = tries.get(at); up?.reported === 'done'; up = tries.get(at)) {
      want = up.input + outputOf(up.body) + want;
      at = up.after;
    }
    if (at !== '' && p.manner === 'stream') {
      if (!tries.has(at)) breaches.push(`try ${x.attempt} ran though no turn ${at} was ever sent`);
      continue;
    }
    if (p.after !== '') checked++;
    if (x.said !== want) breaches.push(`server ${x.server} ran try ${x.attempt} with another body`);
  }
  return {
    rule: 'a pass runs with its body byte for byte, its chain before it',
    checked,
    breaches,
  };
};

const budgets = (r: Records): RuleResult => {
  const breaches: string[] = [];
  let checked = 0;
  const turns = r.passes.filter((p) => p.manner === 'stream' && p.program !== '');
  for (const [program, rows] of group(turns, (p) => p.program)) {
    const bound = rows.filter((p) => p.budget !== null);
    if (bound.length === 0) continue;
    const budget = Math.max(...bound.map((p) => p.budget ?? 0));
    const most = Math.max(...bound.map((p) => p.most));
    const got = rows.reduce((n, p) => n + eventsOf(p.body).length, 0);
    if (got > budget / 2) checked++;
    if (got > budget + most)
      breaches.push(`callers received ${got} tokens of program ${program}, which has ${budget}`);
  }
  return {
    rule: 'no program on pass routes hands out more than its budget and one turn',
    checked,
    breaches,
  };
};

const history = (r: Records, s: Slack): RuleResult => {
  const tries = new Map(r.passes.map((p) => [p.attempt, p]));
  const rows = r.passes.filter((p) => {
    const up = tries.get(p.after);
    return up?.reported === 'done' && up.to < p.from && p.to - up.to <= s.historyMs;
  });
  const breaches = rows
    .filter((p) => p.status === 404 || p.status === 410)
    .map((p) => `turn ${p.after} was told ${p.status} ${p.errorCode} to try ${p.attempt}`);
  return {
    rule: 'a turn of a pass route answered whole is not reported missing',
    checked: rows.length,
    breaches,
  };
};

export const passRules = (r: Records, s: Slack): readonly RuleResult[] => [
  once(r),
  refused(r),
  known(r),
  whole(r),
  streams(r),
  chains(r),
  budgets(r),
  history(r, s),
];
