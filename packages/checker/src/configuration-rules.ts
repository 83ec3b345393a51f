/** Rules on the configuration and its effects: allowed pools, shares, draining servers, and restarts. */
import type { ConfigRecord, ExecutionRecord, Records } from './records.js';
import type { RuleResult, Tolerances } from './rule-result.js';

/** Checks that a draining server gets no new work once `drainingMs` has passed since it was marked. */
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
        breaches.push(
          `server ${server} got work ${began - draining.at} ms after it was marked as draining`,
        );
      else if (pool === poolOf.get(draining.server)) checked++;
    }
  return { rule: 'a draining server gets nothing new after 3 s', checked, breaches };
};

/** A split counts as checked only if it has more than this many times `rounding` requests. */
const minRoundingMultiple = 4;

/** Checks that the work of each period was split over pools by the configured shares. */
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
      if (executions.length > split.rounding * minRoundingMultiple) checked++;
      if (Math.abs(actual - expected) > (share === 0 ? 0 : split.rounding))
        breaches.push(
          `pool ${pool} got ${actual} of ${executions.length} requests, but its share is ${share} of ${total}`,
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

const acknowledgedConfigs = (records: Records): readonly ConfigRecord[] =>
  records.configs
    .filter((config) => config.reported === 'done')
    .sort((a, b) => a.version - b.version);

/** Checks that work runs only in pools of the configuration in force, or of a newer one submitted by then. */
export const acknowledgedConfigStaysInForce = (
  records: Records,
  tolerances: Tolerances,
): RuleResult => {
  const acknowledged = acknowledgedConfigs(records);
  const possible = records.configs.filter((config) => config.reported !== 'refused');
  const breaches: string[] = [];
  let checked = 0;
  for (const { kind, pool, began } of records.executed) {
    const newestInForce = acknowledged
      .filter((config) => config.reportedAt + tolerances.inForceMs < began)
      .at(-1);
    if (!newestInForce) continue;
    const older = possible.filter((config) => config.version < newestInForce.version);
    const allowedPools = poolsOf(newestInForce, kind);
    if (older.some((config) => poolsOf(config, kind).some((name) => !allowedPools.includes(name))))
      checked++;
    const possiblyInForce = possible.filter(
      (config) => config.version >= newestInForce.version && config.sentAt <= began,
    );
    if (!possiblyInForce.some((config) => poolsOf(config, kind).includes(pool)))
      breaches.push(
        `${kind} ran in pool ${pool} though configuration version ${newestInForce.version} was in force`,
      );
  }
  return { rule: 'an acknowledged configuration is in force and stays', checked, breaches };
};

/** Checks that no work ran in a pool that no configuration submitted by then allowed. */
export const poolsWereAllowed = (records: Records): RuleResult => {
  const possible = records.configs.filter((config) => config.reported !== 'refused');
  const breaches = records.executed
    .filter(
      ({ kind, pool, began }) =>
        !possible.some((config) => config.sentAt <= began && poolsOf(config, kind).includes(pool)),
    )
    .map(
      ({ pool }) => `work ran in pool ${pool}, which no configuration submitted by then allowed`,
    );
  return {
    rule: 'no work reaches a pool never allowed',
    checked: records.executed.length,
    breaches,
  };
};

/** Checks that the read-back returned the newest acknowledged configuration, or a newer one of unknown outcome. */
export const readBackIsNewest = (records: Records): RuleResult => {
  const rule = 'read-back gives the newest acknowledged configuration';
  const newest = acknowledgedConfigs(records).at(-1);
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
  const breach = `read back configuration version ${readBack?.version ?? 'none'}, acknowledged was ${newest.version}`;
  return { rule, checked: 1, breaches: isNewest || isUnknownButNewer ? [] : [breach] };
};

/** Checks that requests are served in time after a restart of all machines, and that no configuration is lost. */
export const serviceResumesAfterRestart = (
  records: Records,
  tolerances: Tolerances,
): RuleResult => {
  const breaches: string[] = [];
  for (const { servedAt, startedAt, configBefore, configAfter } of records.restarts) {
    if (servedAt - startedAt > tolerances.serveMs)
      breaches.push(
        `requests were served again ${servedAt - startedAt} ms after the restart, limit ${tolerances.serveMs} ms`,
      );
    if (configAfter < configBefore)
      breaches.push(
        `configuration version ${configBefore} was lost, version ${configAfter} is in force after the restart`,
      );
  }
  return {
    rule: 'after a full stop serving is back within 12 s with its configuration',
    checked: records.restarts.length,
    breaches,
  };
};
