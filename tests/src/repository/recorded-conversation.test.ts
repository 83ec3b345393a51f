/** Messages between nodes of earlier versions are understood by this one, and answered in the same form. */
import { inflateSync } from 'node:zlib';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import {
  DepartureNotice,
  FilledNotice,
  OperatorRequest,
  OperatorResponse,
} from '@tillerstair/control';
import { closeHttpConnections } from '@tillerstair/fleet';
import { defaultTimings, FolderDisk } from '@tillerstair/journal';
import { Feed, FeedResponse } from '@tillerstair/proxy';
import {
  CallOutcome,
  CallRequest,
  HistoryRequest,
  PassRequest,
  ProgramRequest,
  TurnRequest,
} from '@tillerstair/session-owner';
import {
  decodeState,
  encodeState,
  FenceRequest,
  FindTurnRequest,
  FindTurnResponse,
  HandoffRequest,
  HintRequest,
  ItemPage,
  Member,
  PutRequest,
  ReadRequest,
  ReadResponse,
  ServerListReply,
} from '@tillerstair/state';
import { openStoreDisk, StoreNode } from '@tillerstair/store';
import { hostClock, RpcError, silentLogger, TcpTransport } from '@tillerstair/wire';
import {
  BootstrapVote,
  BootstrapVoteResponse,
  Commit,
  Join,
  Leave,
  MasterPing,
  MasterPingResponse,
  MemoryElectionStore,
  NodePing,
  NodePingResponse,
  Ping,
  PingResponse,
  Publish,
  PublishPayload,
  PublishResponse,
  Validate,
  ValidateResponse,
  zenBounds,
} from '@tillerstair/zen';
import {
  readConversation,
  readExpected,
  withStoredData,
  type Expected,
  type Message,
  type RecordedCall,
} from '../support/stored-fixture.js';
import { callOwner, callRaw } from '../support/raw-connection.js';
import { startStoredCluster, type StoredCluster } from '../support/stored-cluster.js';

const conversation = suite('recorded conversation of earlier versions');

interface MessageForm {
  readonly request: z.ZodType;
  readonly response: z.ZodType;
}

const Nothing = z.strictObject({});

/** The forms of both messages of each kind; kinds that no package exports a form of are held by their handlers. */
const messageForms: ReadonlyMap<string, MessageForm> = new Map([
  ['zen/ping', { request: Ping, response: PingResponse }],
  ['zen/join', { request: Join, response: z.object({ term: z.number() }) }],
  ['zen/validate', { request: Validate, response: ValidateResponse }],
  ['zen/publish', { request: Publish, response: PublishResponse }],
  ['zen/commit', { request: Commit, response: Nothing }],
  ['zen/node-ping', { request: NodePing, response: NodePingResponse }],
  ['zen/master-ping', { request: MasterPing, response: MasterPingResponse }],
  ['zen/bootstrap', { request: BootstrapVote, response: BootstrapVoteResponse }],
  ['zen/leave', { request: Leave, response: Nothing }],
  ['store/put', { request: PutRequest, response: Nothing }],
  ['store/fence', { request: FenceRequest, response: ItemPage }],
  ['store/pull', { request: FenceRequest, response: ItemPage }],
  ['store/read', { request: ReadRequest, response: ReadResponse }],
  ['store/find', { request: FindTurnRequest, response: FindTurnResponse }],
  ['store/hint', { request: HintRequest, response: Nothing }],
  ['store/hand', { request: HandoffRequest, response: Nothing }],
  ['control/operate', { request: OperatorRequest, response: OperatorResponse }],
  ['control/list', { request: Nothing, response: ServerListReply }],
  ['control/depart', { request: DepartureNotice, response: Nothing }],
  ['control/filled', { request: FilledNotice, response: Nothing }],
  ['front/feed', { request: Feed, response: FeedResponse }],
  ['front/hello', { request: Nothing, response: z.object({ id: z.string() }).loose() }],
  ['front/program', { request: ProgramRequest, response: CallOutcome }],
  ['front/turn', { request: TurnRequest, response: CallOutcome }],
  ['front/history', { request: HistoryRequest, response: CallOutcome }],
  ['front/call', { request: CallRequest, response: CallOutcome }],
  ['front/keyed', { request: PassRequest, response: CallOutcome }],
  ['front/stream', { request: PassRequest, response: CallOutcome }],
]);

const Addressed = z.object({ to: z.string().optional() }).loose();

/** A request without its addressee, which is parsed apart from the request itself. */
const withoutAddressee = (body: unknown): unknown => {
  const { to, ...rest } = Addressed.parse(body);
  return to === undefined || 'slot' in rest ? body : rest;
};

conversation('no field of a request or a response is unknown or missing now', async () => {
  const calls = await readConversation();
  const seen = new Set<string>();
  for (const { kind, body, end } of calls) {
    const form = messageForms.get(kind);
    assert.ok(form, kind);
    seen.add(kind);
    assert.equal(form.request.parse(body), withoutAddressee(body), kind);
    if (end?.response === undefined) continue;
    assert.equal(form.response.parse(end.response), end.response, kind);
  }
  assert.equal([...seen].sort(), [...messageForms.keys()].sort());
});

conversation('a published state or diff is decoded without loss', async () => {
  let states = 0;
  for (const { kind, body } of await readConversation()) {
    if (kind !== 'zen/publish') continue;
    const { packed } = Publish.parse(body);
    const text = inflateSync(Buffer.from(packed, 'base64')).toString('utf8');
    const payload = PublishPayload.parse(JSON.parse(text));
    assert.equal(payload, JSON.parse(text));
    if (!('full' in payload)) continue;
    states++;
    const table = new Map(payload.full);
    assert.equal([...encodeState(decodeState(table))].sort(), [...table].sort());
  }
  assert.ok(states > 0);
});

/** The address that a node had when it was recorded. */
const addressOf = (expected: Expected, name: string): string => {
  const { id, accepted } = new Map(Object.entries(expected.nodes)).get(name)?.election ?? {
    id: '',
    accepted: [],
  };
  const entry = accepted.find(([key]) => key === `node/${id}`);
  return entry === undefined ? '' : Member.parse(JSON.parse(entry[1])).addr;
};

/** A store with an empty disk that no other node knows. */
const openEmptyStore = async (folder: string, address: string): Promise<StoreNode> => {
  const { replicaStore } = await openStoreDisk({
    disk: await FolderDisk.acquire(folder),
    clock: hostClock,
    timings: defaultTimings,
    limits: { rewriteMinBytes: 1 << 30, retentionMs: 3600000, maxHints: 1000 },
    freshId: () => 'replayed',
    rewriteMinBytes: 1 << 30,
  });
  return new StoreNode({
    me: { id: 's', kind: 'store', addr: address, http: '', zone: 'z', data: '', name: '' },
    seeds: [],
    clock: hostClock,
    transport: new TcpTransport(address),
    electionStore: new MemoryElectionStore('s'),
    bounds: zenBounds({
      serveWithin: 8000,
      drainingWithin: 1500,
      heartbeatInterval: 400,
      failureTimeout: 1200,
    }),
    log: silentLogger,
    replicaStore,
  });
};

conversation('a store answers each request of owners and stores just as it did', () =>
  withStoredData(async (folderOf) => {
    const expected = await readExpected();
    const calls = await readConversation();
    for (const name of ['store-0', 'store-1']) {
      const address = addressOf(expected, name);
      const node = await openEmptyStore(folderOf(`replayed-${name}`), address);
      const requests = calls.filter((c) => c.to === address && c.kind.startsWith('store/'));
      assert.ok(requests.length > 100, `${requests.length} requests`);
      for (const { from, kind, body, end } of requests) {
        if (end === undefined) continue;
        const answer: unknown = await node.handle({ from, kind, body }).catch((e: unknown) => e);
        if (end.error !== undefined) {
          assert.instance(answer, RpcError);
          assert.is(answer instanceof RpcError && answer.code, end.error.code);
        } else assert.equal(answer, end.response, `${name} ${kind} ${JSON.stringify(body)}`);
      }
    }
  }),
);

const ProgramOutcome = z.object({
  outcome: z.string(),
  status: z.number(),
  body: z.object({ program: z.string() }),
});

/** The answer to the making of a helper; made again it names the budget of its program, which the first answer did not. */
const programOf = (response: unknown): z.infer<typeof ProgramOutcome> =>
  ProgramOutcome.parse(response);

/** Answered from what is stored: the outcome, and all that was streamed, is the same again. */
const storedKinds: ReadonlySet<string> = new Set([
  'front/call',
  'front/history',
  'front/keyed',
  'front/turn',
]);

/** What a node says of itself differs, its form does not. */
const statusKinds: ReadonlySet<string> = new Set(['front/hello', 'zen/ping', 'zen/node-ping']);

/** Rest on a state that has gone; they may be refused, but not misunderstood. */
const outdatedKinds: ReadonlySet<string> = new Set([
  'zen/bootstrap',
  'zen/commit',
  'zen/master-ping',
  'zen/publish',
  'zen/validate',
  'control/list',
  'control/operate',
]);

const notUnderstood: ReadonlySet<string> = new Set(['internal', 'unknown-kind']);

const uniqueBodies = (calls: readonly RecordedCall[]): readonly RecordedCall[] => [
  ...new Map(calls.map((c) => [`${c.kind} ${JSON.stringify(c.body)}`, c])).values(),
];

type Select = (kinds: ReadonlySet<string>) => readonly RecordedCall[];

/** The text of all chunks, which need not be divided as they were when the server made them. */
const streamedText = (chunks: readonly unknown[]): string =>
  chunks.map((chunk) => z.object({ text: z.string() }).parse(chunk).text).join('');

const assertStoredAnswers = async (cluster: StoredCluster, select: Select): Promise<void> => {
  for (const call of select(storedKinds)) {
    const answer = await callOwner(cluster.proxies, call);
    assert.equal(answer.end.response, call.end?.response, call.line);
    assert.is(streamedText(answer.chunks), streamedText(call.chunks), call.line);
  }
  for (const call of select(new Set(['front/program']))) {
    const answer = await callOwner(cluster.proxies, call);
    assert.equal(programOf(answer.end.response), programOf(call.end?.response));
  }
};

const Table = z.record(z.string(), z.unknown());
const keysOf = (value: unknown): readonly string[] => Object.keys(Table.parse(value)).sort();

const assertUnderstood = (call: RecordedCall, end: Message): void => {
  const { code = '', text = '' } = end.error ?? {};
  assert.not(notUnderstood.has(code), `${call.kind}: ${code}: ${text}`);
};

const assertStatusAnswers = async (cluster: StoredCluster, select: Select): Promise<void> => {
  for (const call of select(statusKinds)) {
    const addresses = call.kind === 'front/hello' ? cluster.feeds : cluster.controls;
    for (const address of addresses) {
      const { end } = await callRaw(address, call);
      assertUnderstood(call, end);
      if (end.error !== undefined) continue;
      const keys = keysOf(end.response);
      for (const key of keysOf(call.end?.response))
        assert.ok(keys.includes(key), `${call.kind} ${key}`);
    }
  }
};

const assertOutdatedAnswers = async (cluster: StoredCluster, select: Select): Promise<void> => {
  for (const call of select(outdatedKinds))
    for (const address of cluster.controls) {
      const { end } = await callRaw(address, call);
      assertUnderstood(call, end);
      if (end.error === undefined) messageForms.get(call.kind)?.response.parse(end.response);
    }
};

conversation('programs on the stored folders answer the recorded lines in the same form', () =>
  withStoredData(async (folderOf) => {
    const calls = await readConversation();
    const select: Select = (kinds) =>
      uniqueBodies(calls.filter((c) => kinds.has(c.kind) && c.end !== undefined));
    const cluster = await startStoredCluster(folderOf);
    try {
      await assertStoredAnswers(cluster, select);
      await assertStatusAnswers(cluster, select);
      await assertOutdatedAnswers(cluster, select);
    } finally {
      await cluster.stop();
    }
  }),
);

conversation.after(() => closeHttpConnections());

conversation.run();
