import { z } from 'zod';
import {
  checkConfig,
  configDigest,
  replicasToWrite,
  liveNodes,
  marginReport,
  changeIdOf,
  reduceState,
  allSlotsAtFullMargin,
  acceptedChangeOutcome,
  type ConfigRecord,
  type IsLive,
  type Member,
  type State,
} from '@tillerstair/state';
import { OperationError, toRpcError } from '@tillerstair/wire';
import { ForgottenChangeError, WrongBaseError } from './change-errors.js';
import type { MasterView } from '@tillerstair/zen';

export const Operation = z.object({ method: z.string(), path: z.string(), body: z.string() });
export type Operation = z.infer<typeof Operation>;
export const Outcome = z.object({
  status: z.number(),
  body: z.unknown(),
  retryAfter: z.number().optional(),
});
export type Outcome = z.infer<typeof Outcome>;

/** Whether an operation alters nothing, however it ends. */
export const isRead = (o: Operation): boolean =>
  o.method === 'GET' || o.path === '/v1/config/prepare';

const no = (status: number, errorCode: string, text: string, more: object = {}): Outcome => ({
  status,
  body: { executed: 'no', errorCode, text, ...more },
});
const unknown = (text: string, how: string): Outcome => ({
  status: 504,
  body: { executed: 'unknown', errorCode: 'unknown', text, how },
});

const jsonOf = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const noConfig = 'no configuration has been handed in';

const NewServer = z.strictObject({
  pool: z.string().min(1),
  url: z.string().regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$/, {
    message: 'must be http://IP:PORT',
  }),
});

/** What tells a change apart: what it builds on, the version that it makes, and its order key. */
interface ChangeName {
  readonly base: number;
  readonly version: number;
  readonly changeId: string;
}

/** Whether a change was taken already; throws where it can no longer be, or where nobody knows any more. */
const wasTaken = (s: State, c: ChangeName): boolean => {
  const outcome = acceptedChangeOutcome(s.acceptedChanges, c.version, c.changeId);
  if (outcome === 'taken') return true;
  if (outcome === 'forgotten') throw new ForgottenChangeError(c.version);
  const current = s.config?.version ?? 0;
  if (c.base !== current) throw new WrongBaseError(current);
  return false;
};

/** The answer to a change of the configuration that failed, where it was refused for a reason of its own. */
const refusalOf = (e: unknown): Outcome | undefined => {
  if (e instanceof WrongBaseError) return no(409, 'wrong-base', e.message, { current: e.current });
  if (e instanceof ForgottenChangeError) return unknown(e.message, 'GET /v1/config');
  return undefined;
};

const putConfig = async (m: MasterView, text: string): Promise<Outcome> => {
  const { config, findings } = checkConfig(text);
  if (!config) return no(422, 'findings', `${findings.length} findings`, { findings });
  const digest = configDigest(text);
  const compiled = JSON.stringify({ ...config, origin: undefined, order: undefined });
  const how = 'GET /v1/config and compare the digest, or hand in the same file again';
  const version = config.version ?? config.base + 1;
  const name = {
    base: config.base,
    version,
    changeId: changeIdOf({ changeId: config.changeId, digest }),
  };
  const record: ConfigRecord = { version, text, digest, compiled, changeId: config.changeId ?? '' };
  try {
    const c = await m.decide((s) =>
      wasTaken(s, name) ? s : reduceState(s, { kind: 'config', record }),
    );
    await m.inForce(c);
    const newest = c.state.config?.version ?? 0;
    return {
      status: 200,
      body: newest === version ? { version, digest } : { version, digest, newest },
    };
  } catch (e) {
    const refusal = refusalOf(e);
    if (refusal) return refusal;
    const x = toRpcError(e);
    return x.executed === 'no'
      ? no(503, x.code, x.message)
      : {
          ...unknown(x.message, how),
          body: { executed: 'unknown', errorCode: 'unknown', text: x.message, how, digest },
        };
  }
};

const Asked = z.strictObject({
  base: z.number(),
  version: z.number(),
  changeId: z.string().min(1),
});

/**
 * Whether a change was taken, and if not, the text that it builds on. A sender that derives its change from the present
 * text asks this first: a change that was taken is acknowledged and one whose base has passed is refused, without a text.
 */
const prepareChange = async (m: MasterView, body: string): Promise<Outcome> => {
  const asked = Asked.safeParse(jsonOf(body));
  if (!asked.success) return no(422, 'findings', 'base, version and order are needed');
  try {
    const s = await m.confirm();
    if (!wasTaken(s, asked.data))
      return s.config
        ? { status: 200, body: { taken: false, text: s.config.text } }
        : no(404, 'missing', noConfig);
    await m.inForce({ state: s, at: m.committedAt });
    return { status: 200, body: { taken: true, version: asked.data.version } };
  } catch (e) {
    const x = toRpcError(e);
    return (
      refusalOf(e) ??
      (x.executed === 'no' ? no(503, x.code, x.message) : unknown(x.message, 'ask again'))
    );
  }
};

const change = async (
  m: MasterView,
  f: (s: State) => State,
  view: (s: State) => unknown,
): Promise<Outcome> => {
  try {
    const { state } = await m.decide(f);
    return { status: 200, body: view(state) };
  } catch (e) {
    const x = toRpcError(e);
    if (x.code === 'missing') return no(404, x.code, x.message);
    if (x.code === 'refused') return no(409, x.code, x.message);
    return x.executed === 'no' ? no(503, x.code, x.message) : unknown(x.message, 'GET /v1/status');
  }
};

const look = async (m: MasterView, view: (s: State) => unknown): Promise<Outcome> => {
  try {
    return { status: 200, body: await view(await m.confirm()) };
  } catch (e) {
    const x = toRpcError(e);
    return x.code === 'missing' ? no(404, x.code, x.message) : no(503, 'unavailable', x.message);
  }
};

/** As `look`, with the nodes of these kinds that replied after the call came. */
const lookAtLive = async (
  m: MasterView,
  kinds: readonly Member['kind'][],
  view: (s: State, isLive: IsLive) => unknown,
): Promise<Outcome> => {
  const peers = [...(m.committed?.nodes.values() ?? [])].filter((member) =>
    kinds.includes(member.kind),
  );
  const replies = m.reach(peers);
  return look(m, async (s) => {
    const reached = await replies;
    return view(s, (id) => reached.has(id));
  });
};

const nobodyLive: IsLive = () => false;

const findMember = (s: State, id: string): Member | undefined => {
  const all = [...s.nodes.values()];
  return (
    s.nodes.get(id) ??
    all.find((x) => x.addr === id) ??
    all.find((x) => x.name !== '' && x.name === id)
  );
};

const memberOf = (s: State, id: string): Member => {
  const member = findMember(s, id);
  if (!member) throw new OperationError('missing', `no node ${id}`);
  return member;
};

const servers = async (m: MasterView, o: Operation, id: string, verb: string): Promise<Outcome> => {
  if (o.method === 'PUT' && verb === '') {
    const raw = jsonOf(o.body);
    if (raw === undefined) return no(400, 'bad-json', 'the body is not JSON');
    const got = NewServer.safeParse(raw);
    if (!got.success)
      return no(422, 'findings', 'bad server', {
        findings: got.error.issues.map((i) => ({ place: i.path.join('.'), text: i.message })),
      });
    const server = { id, ...got.data, draining: false, down: false, zone: '', places: 0 };
    return change(
      m,
      (s) => reduceState(s, { kind: 'server', server }),
      (s) => s.servers.get(id),
    );
  }
  if (o.method === 'POST' && verb === 'draining')
    return change(
      m,
      (s) => {
        if (!s.servers.has(id)) throw new OperationError('missing', `no server ${id}`);
        return reduceState(s, { kind: 'server-mark', id, draining: true });
      },
      (s) => s.servers.get(id),
    );
  if (o.method === 'DELETE' && verb === '')
    return change(
      m,
      (s) => reduceState(s, { kind: 'server-gone', id }),
      () => ({ id, gone: true }),
    );
  return no(405, 'no-such-operation', `${o.method} ${o.path}`);
};

const retiredOf = (s: State, id: string): string | undefined =>
  s.retiring.has(id) ? id : [...s.retiring].findLast(([, name]) => name !== '' && name === id)?.[0];

const storeOf = (s: State, id: string): string => {
  const member = findMember(s, id);
  if (member && member.kind !== 'store')
    throw new OperationError('missing', `${id} is a ${member.kind}, not a store`);
  const found = member?.id ?? retiredOf(s, id);
  if (found === undefined) throw new OperationError('missing', `no store ${id}`);
  return found;
};

/** How far the emptying of a store is; done only when the loss of all that may be lost at once would be borne without it. */
export const emptyingOf = (s: State, id: string, isLive: IsLive): object => {
  const held = s.slots.filter((x) => replicasToWrite(x).includes(id)).length;
  const joiningReplicas = s.slots.filter((x) => x.joiningReplicas.length > 0).length;
  return {
    store: id,
    retiring: s.retiring.has(id),
    slotsHeld: held,
    slotsJoining: joiningReplicas,
    done: s.retiring.has(id) && held === 0 && allSlotsAtFullMargin(s, liveNodes(s, isLive)),
  };
};

const retire = (
  m: MasterView,
  id: string,
  on: boolean,
  kind: 'store' | 'front',
): Promise<Outcome> => {
  let found = id;
  return change(
    m,
    (s) => {
      const member = findMember(s, id);
      found = member?.id ?? retiredOf(s, id) ?? id;
      if (member && member.kind !== kind)
        throw new OperationError('refused', `${id} is a ${member.kind}, not a ${kind}`);
      if (member ? s.retiring.has(found) === on : on && s.retiring.has(found)) return s;
      if (!member) throw new OperationError('missing', `no node ${id}`);
      const rest = [...s.nodes.values()].filter(
        (x) => x.kind === kind && x.id !== member.id && !s.retiring.has(x.id),
      );
      if (on && kind === 'store' && rest.length < s.replication.replicas)
        throw new OperationError(
          'refused',
          `only ${rest.length} other stores would stay, ${s.replication.replicas} replicas are needed`,
        );
      if (on && kind === 'front' && rest.length < 1)
        throw new OperationError('refused', 'no other front would stay');
      return reduceState(s, { kind: 'retire', id: member.id, on });
    },
    (s) =>
      kind === 'store'
        ? emptyingOf(s, found, nobodyLive)
        : {
            front: found,
            retiring: s.retiring.has(found),
            slotsHeld: s.slots.filter((x) => x.owner === found).length,
          },
  );
};

const voters = (m: MasterView, id: string, add: boolean): Promise<Outcome> =>
  change(
    m,
    (s) => {
      if (s.voters.current.join() !== s.voters.next.join())
        throw new OperationError('refused', 'another change of controls is under way');
      if (!add) {
        if (!s.voters.current.includes(id))
          throw new OperationError('missing', `${id} is no voting control`);
        if (s.voters.current.length <= 1)
          throw new OperationError('refused', 'the last control cannot be taken out');
        return reduceState(s, { kind: 'voters', out: id, in: undefined });
      }
      const member = memberOf(s, id);
      if (member.kind !== 'control')
        throw new OperationError('refused', `${id} is a ${member.kind}`);
      if (!m.synced(member.id))
        throw new OperationError(
          'refused',
          `${id} does not hold the newest state on its disk yet; ask again`,
        );
      return reduceState(s, { kind: 'voters', out: '', in: member });
    },
    (s) => ({ controls: s.voters.next }),
  );

export const statusOf = (s: State, isLive: IsLive): object => ({
  clusterId: s.clusterId,
  term: s.term,
  version: s.version,
  master: s.master,
  controls: s.voters,
  config: s.config ? { version: s.config.version, digest: s.config.digest } : null,
  nodes: [...s.nodes.values()],
  servers: [...s.servers.values()],
  stores: [...s.nodes.values()]
    .filter((m) => m.kind === 'store')
    .map((m) => emptyingOf(s, m.id, isLive)),
  slots: {
    count: s.slots.length,
    owned: s.slots.filter((x) => s.nodes.has(x.owner)).length,
    joiningReplicas: s.slots.filter((x) => x.joiningReplicas.length > 0).length,
  },
  weights: [...s.weights],
});

export const operate = async (m: MasterView, o: Operation): Promise<Outcome> => {
  const [, v1 = '', section = '', rawId = '', verb = ''] = o.path.split('/');
  const id = decodeURIComponent(rawId);
  if (v1 !== 'v1') return no(404, 'no-such-page', o.path);
  if (section === 'config' && id === '') {
    if (o.method === 'PUT') return putConfig(m, o.body);
    if (o.method !== 'GET') return no(405, 'no-such-operation', `${o.method} ${o.path}`);
    return look(m, (s) => {
      if (!s.config) throw new OperationError('missing', noConfig);
      const { version, text, digest, changeId } = s.config;
      return { version, text, digest, changeId };
    });
  }
  if (section === 'config' && id === 'prepare' && o.method === 'POST')
    return prepareChange(m, o.body);
  if (section === 'servers' && id !== '') return servers(m, o, id, verb);
  if (section === 'stores' && verb === 'empty') {
    if (o.method === 'POST') return retire(m, id, true, 'store');
    if (o.method === 'DELETE') return retire(m, id, false, 'store');
    if (o.method === 'GET')
      return lookAtLive(m, ['store'], (s, isLive) => emptyingOf(s, storeOf(s, id), isLive));
  }
  if (section === 'fronts' && verb === 'drain') {
    if (o.method === 'POST') return retire(m, id, true, 'front');
    if (o.method === 'DELETE') return retire(m, id, false, 'front');
  }
  if (section === 'controls' && id !== '') {
    if (o.method === 'POST') return voters(m, id, true);
    if (o.method === 'DELETE') return voters(m, id, false);
  }
  if (section === 'margin' && o.method === 'GET')
    return lookAtLive(m, ['control', 'store'], marginReport);
  if (section === 'status' && o.method === 'GET') return lookAtLive(m, ['store'], statusOf);
  return no(404, 'no-such-page', o.path);
};
