/** Rules on the configuration and on what it and the operators decide: pools, shares, draining servers, restarts. */
import type { ConfigRecord, ExecutionRecord, Records } from './records.js';
import type { RuleResult, Tolerances } from './rule-result.js';

/** A draining server gets nothing new. */
export const drainingServersGetNoNewWork = (
  records: Records,
  tolerances: Tolerances,
): RuleResult => {
  const breaches: string[] = [];
  let checked = 0;
  const poolOf = new Map(records.executed.map((execution) => [execution.server, execution.pool]));
  for (const draining of records.drainings)
    for (const { server, pool, began } of records.executed) {
      if (began <= draining.at + tolerances.drainingMs || began >= draining.until) continue;
      if (server === draining.server)
        breaches.push(`server ${server} got work ${began - draining.at} ms after its mark`);
      else if (pool === poolOf.get(draining.server)) checked++;
    }
  return { rule: 'a draining server gets nothing new after 3 s', checked, breaches };
};

/** A split needs this many times its rounding in requests before it proves anything. */
const provingRoundings = 4;

/** Work is split over pools by the shares of the configuration. */
export const workFollowsShares = (records: Records): RuleResult => {
  const breaches: string[] = [];
  let checked = 0;
  for (const split of records.shares) {
    const total = split.shares.reduce((sum, [, share]) => sum + share, 0);
    const executions = records.executed.filter(
      ({ kind, began }) => kind === split.kind && began >= split.from && began < split.to,
    );
    for (const [pool, share] of split.shares) {
      const actual = executions.filter((execution) => execution.pool === pool).length;
      const expected = (executions.length * share) / total;
      if (executions.length > split.rounding * provingRoundings) checked++;
      if (Math.abs(actual - expected) > (share === 0 ? 0 : split.rounding))
        breaches.push(
          `pool ${pool} got ${actual} of ${executions.length}, its share is ${share} of ${total}`,
        );
    }
  }
  return { rule: 'work is split by the shares the operator gave', checked, breaches };
};

const poolsOf = (config: ConfigRecord, kind: ExecutionRecord['kind']): readonly string[] => {
  switch (kind) {
    case 'pass':
      return [...config.turnPools, ...config.callPools];
    case 'generate':
      return config.turnPools;
    case 'act':
      return config.callPools;
  }
};

const acknowledgedOf = (records: Records): readonly ConfigRecord[] =>
  records.configs
    .filter((config) => config.reported === 'done')
    .sort((a, b) => a.version - b.version);

/** An acknowledged configuration decides where work goes, and no older one does. */
export const acknowledgedConfigStaysInForce = (
  records: Records,
  tolerances: Tolerances,
): RuleResult => {
  const acknowledged = acknowledgedOf(records);
  const possible = records.configs.filter((config) => config.reported !== 'refused');
  const breaches: string[] = [];
  let checked = 0;
  for (const { kind, pool, began } of records.executed) {
    const oldest = acknowledged
      .filter((config) => config.reportedAt + tolerances.inForceMs < began)
      .at(-1);
    if (!oldest) continue;
    const older = possible.filter((config) => config.version < oldest.version);
    const allowedByOldest = poolsOf(oldest, kind);
    if (older.some((config) => poolsOf(config, kind).some((p) => !allowedByOldest.includes(p))))
      checked++;
    const mayDecide = possible.filter(
      (config) => config.version >= oldest.version && config.sentAt <= began,
    );
    if (!mayDecide.some((config) => poolsOf(config, kind).includes(pool)))
      breaches.push(`${kind} ran in pool ${pool} though version ${oldest.version} was in force`);
  }
  return { rule: 'an acknowledged configuration is in force and stays', checked, breaches };
};

/** No work reaches a pool that no configuration allowed by then. */
export const poolsWereAllowed = (records: Records): RuleResult => {
  const possible = records.configs.filter((config) => config.reported !== 'refused');
  const breaches = records.executed
    .filter(
      ({ kind, pool, began }) =>
        !possible.some((config) => config.sentAt <= began && poolsOf(config, kind).includes(pool)),
    )
    .map(({ pool }) => `work ran in pool ${pool}`);
  return {
    rule: 'no work reaches a pool never allowed',
    checked: records.executed.length,
    breaches,
  };
};

/** What is read back at the end is the newest acknowledged configuration, or a newer one of unknown outcome. */
export const readBackIsNewest = (records: Records): RuleResult => {
  const rule = 'read-back gives the newest acknowledged configuration';
  const newest = acknowledgedOf(records).at(-1);
  if (!newest) return { rule, checked: 0, breaches: [] };
  const { readBack } = records;
  const isNewest =
    readBack !== undefined && readBack.version === newest.version && readBack.text === newest.text;
  const isUnknownButNewer = records.configs.some(
    ({ reported, version, text }) =>
      reported === 'unknown' &&
      version === readBack?.version &&
      text === readBack.text &&
      version > newest.version,
  );
  const breach = `read back version ${readBack?.version ?? 'none'}, acknowledged was ${newest.version}`;
  return { rule, checked: 1, breaches: isNewest || isUnknownButNewer ? [] : [breach] };
};

/** After a full stop, serving is back in time and no configuration is lost. */
export const serviceResumesAfterRestart = (
  records: Records,
  tolerances: Tolerances,
): RuleResult => {
  const breaches: string[] = [];
  for (const { servedAt, startedAt, configBefore, configAfter } of records.restarts) {
    if (servedAt - startedAt > tolerances.serveMs)
      breaches.push(`serving was back after ${servedAt - startedAt} ms`);
    if (configAfter < configBefore) breaches.push(`configuration ${configBefore} was lost`);
  }
  return {
    rule: 'after a full stop serving is back within 12 s with its configuration',
    checked: records.restarts.length,
    breaches,
  };
};
