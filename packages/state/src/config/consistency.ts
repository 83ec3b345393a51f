/** Consistency checks beyond the schema: names and matches are unique, and shares refer to pools of the file. */
import type { Finding } from './findings.js';
import { matchKey } from './routes.js';
import type { Config, Route } from './schema.js';

type PoolKinds = ReadonlyMap<string, Config['pools'][number]['kind']>;

const versionFindings = ({ base, version }: Config): readonly Finding[] =>
  version !== undefined && version <= base
    ? [{ place: 'version', text: `version must be above the base ${base}` }]
    : [];

const poolFindings = ({ pools }: Config): readonly Finding[] => {
  const names = new Set<string>();
  return pools.flatMap(({ name }, index) => {
    if (names.has(name))
      return [{ place: `pools[${index}].name`, text: `pool ${name} is defined twice` }];
    names.add(name);
    return [];
  });
};

const passFindings = ({ match, pass }: Route, place: string): readonly Finding[] => {
  if (match.kind !== 'pass')
    return pass || match.host !== ''
      ? [{ place: `${place}.match`, text: 'only a pass route may have a host and pass rules' }]
      : [];
  const findings: Finding[] = [];
  if (!pass)
    findings.push({
      place: `${place}.pass`,
      text: 'a pass route must have pass rules',
    });
  if (!match.path.endsWith('/'))
    findings.push({
      place: `${place}.match.path`,
      text: 'the path of a pass route must end with /',
    });
  return findings;
};

const wrongPoolText = ({ match }: Route, pool: string, kinds: PoolKinds): string | undefined => {
  const kind = kinds.get(pool);
  if (kind === undefined) return `pool ${pool} is not in this file`;
  const wanted = match.kind === 'turn' ? 'model' : 'service';
  return match.kind !== 'pass' && kind !== wanted
    ? `a ${match.kind} route needs a ${wanted} pool, ${pool} is a ${kind} pool`
    : undefined;
};

const shareFindings = (route: Route, routePlace: string, kinds: PoolKinds): readonly Finding[] => {
  const findings: Finding[] = [];
  const pools = new Set<string>();
  route.shares.forEach(({ pool }, index) => {
    const place = `${routePlace}.shares[${index}].pool`;
    const wrongPool = wrongPoolText(route, pool, kinds);
    if (wrongPool !== undefined) findings.push({ place, text: wrongPool });
    if (pools.has(pool)) findings.push({ place, text: `pool ${pool} is listed twice` });
    pools.add(pool);
  });
  if (route.shares.every(({ share }) => share === 0))
    findings.push({ place: `${routePlace}.shares`, text: 'at least one share must be above 0' });
  return findings;
};

const routeFindings = ({ routes, pools }: Config): readonly Finding[] => {
  const kinds: PoolKinds = new Map(pools.map(({ name, kind }) => [name, kind]));
  const names = new Set<string>();
  const nameByMatch = new Map<string, string>();
  return routes.flatMap((route, index) => {
    const { name } = route;
    const place = `routes[${index}]`;
    const findings: Finding[] = [];
    if (names.has(name))
      findings.push({ place: `${place}.name`, text: `route ${name} is defined twice` });
    names.add(name);
    findings.push(...passFindings(route, place));
    const match = matchKey(route);
    const earlier = nameByMatch.get(match);
    if (earlier !== undefined)
      findings.push({ place: `${place}.match`, text: `route ${earlier} already takes ${match}` });
    nameByMatch.set(match, name);
    findings.push(...shareFindings(route, place, kinds));
    return findings;
  });
};

/** The findings of a file that satisfies its schema: those of pools, of versions, then of routes. */
export const consistencyFindings = (config: Config): readonly Finding[] => [
  ...poolFindings(config),
  ...versionFindings(config),
  ...routeFindings(config),
];
