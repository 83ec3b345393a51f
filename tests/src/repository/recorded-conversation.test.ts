/** Node-to-node messages of earlier versions are understood by this version and answered in the same format. */
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

const conversation = suite('recorded messages of earlier versions');

interface MessageSchemas {
  readonly request: z.ZodType;
  readonly response: z.ZodType;
}

const EmptyMessage = z.strictObject({});

/** The request and response schemas of each kind; schemas that no package exports are checked by the handlers. */
const messageSchemas: ReadonlyMap<string, MessageSchemas> = new Map([
  ['zen/ping', { request: Ping, response: PingResponse }],
  ['zen/join', { request: Join, response: z.object({ term: z.number() }) }],
  ['zen/validate', { request: Validate, response: ValidateResponse }],
  ['zen/publish', { request: Publish, response: PublishResponse }],
  ['zen/commit', { request: Commit, response: EmptyMessage }],
  ['zen/node-ping', { request: NodePing, response: NodePingResponse }],
  ['zen/master-ping', { request: MasterPing, response: MasterPingResponse }],
  ['zen/bootstrap', { request: BootstrapVote, response: BootstrapVoteResponse }],
  ['zen/leave', { request: Leave, response: EmptyMessage }],
  ['store/put', { request: PutRequest, response: EmptyMessage }],
  ['store/fence', { request: FenceRequest, response: ItemPage }],
  ['store/pull', { request: FenceRequest, response: ItemPage }],
  ['store/read', { request: ReadRequest, response: ReadResponse }],
  ['store/find', { request: FindTurnRequest, response: FindTurnResponse }],
  ['store/hint', { request: HintRequest, response: EmptyMessage }],
  ['store/hand', { request: HandoffRequest, response: EmptyMessage }],
  ['control/operate', { request: OperatorRequest, response: OperatorResponse }],
  ['control/list', { request: EmptyMessage, response: ServerListReply }],
  ['control/depart', { request: DepartureNotice, response: EmptyMessage }],
  ['control/filled', { request: FilledNotice, response: EmptyMessage }],
  ['front/feed', { request: Feed, response: FeedResponse }],
  ['front/hello', { request: EmptyMessage, response: z.object({ id: z.string() }).loose() }],
  ['front/program', { request: ProgramRequest, response: CallOutcome }],
  ['front/turn', { request: TurnRequest, response: CallOutcome }],
  ['front/history', { request: HistoryRequest, response: CallOutcome }],
  ['front/call', { request: CallRequest, response: CallOutcome }],
  ['front/keyed', { request: PassRequest, response: CallOutcome }],
  ['front/stream', { request: PassRequest, response: CallOutcome }],
]);

const AddressedBody = z.object({ to: z.string().optional() }).loose();

/** A request body without its field `to`, which is parsed separately, unless the body belongs to a slot. */
const withoutAddressee = (body: unknown): unknown => {
  const { to, ...rest } = AddressedBody.parse(body);
  return to === undefined || 'slot' in rest ? body : rest;
};

conversation(
  'every field of a recorded request or response is known, and none is missing',
  async () => {
    const calls = await readConversation();
    const kinds = new Set<string>();
    for (const { kind, body, end } of calls) {
      const schemas = messageSchemas.get(kind);
      assert.ok(schemas, kind);
      kinds.add(kind);
      assert.equal(schemas.request.parse(body), withoutAddressee(body), kind);
      if (end?.response === undefined) continue;
      assert.equal(schemas.response.parse(end.response), end.response, kind);
    }
    assert.equal([...kinds].sort(), [...messageSchemas.keys()].sort());
  },
);

conversation('a published state or diff is decoded without loss', async () => {
  let stateCount = 0;
  for (const { kind, body } of await readConversation()) {
    if (kind !== 'zen/publish') continue;
    const { packed } = Publish.parse(body);
    const text = inflateSync(Buffer.from(packed, 'base64')).toString('utf8');
    const payload = PublishPayload.parse(JSON.parse(text));
    assert.equal(payload, JSON.parse(text));
    if (!('full' in payload)) continue;
    stateCount++;
    const table = new Map(payload.full);
    assert.equal([...encodeState(decodeState(table))].sort(), [...table].sort());
  }
  assert.ok(stateCount > 0);
});

/** The address of a node at the time of the recording. */
/** An answer as its caller gets it, by JSON. */
const asSent = (answer: unknown): unknown => JSON.parse(JSON.stringify(answer ?? null));

const addressOf = (expected: Expected, name: string): string => {
  const { id, accepted } = new Map(Object.entries(expected.nodes)).get(name)?.election ?? {
    id: '',
    accepted: [],
  };
  const entry = accepted.find(([key]) => key === `node/${id}`);
  return entry === undefined ? '' : Member.parse(JSON.parse(entry[1])).addr;
};

/** Opens a store with an empty data folder that is in no cluster. */
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
    localMember: { id: 's', kind: 'store', addr: address, http: '', zone: 'z', data: '', name: '' },
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

conversation('a store answers each recorded request of owners and stores as it did then', () =>
  withStoredData(async (folderOf) => {
    const expected = await readExpected();
    const calls = await readConversation();
    for (const name of ['store-0', 'store-1']) {
      const address = addressOf(expected, name);
      const node = await openEmptyStore(folderOf(`replayed-${name}`), address);
      const requests = calls.filter(
        (call) => call.to === address && call.kind.startsWith('store/'),
      );
      assert.ok(requests.length > 100, `${requests.length} requests`);
      for (const { from, kind, body, end } of requests) {
        if (end === undefined) continue;
        const answer: unknown = await node
          .handle({ from, kind, body })
          .catch((error: unknown) => error);
        if (end.error !== undefined) {
          assert.instance(answer, RpcError);
          assert.is(answer instanceof RpcError && answer.code, end.error.code);
        } else
          assert.equal(asSent(answer), end.response, `${name} ${kind} ${JSON.stringify(body)}`);
      }
    }
  }),
);

const ProgramOutcome = z.object({
  outcome: z.string(),
  status: z.number(),
  body: z.object({ program: z.string() }),
});

/**
 * Parses the answer to the creation of a program. The answer to a repeated request also has the program's budget, which
 * the first answer did not have.
 */
const programOf = (response: unknown): z.infer<typeof ProgramOutcome> =>
  ProgramOutcome.parse(response);

/** Kinds that are answered from stored data: the outcome and the streamed text are the same as recorded. */
const storedKinds: ReadonlySet<string> = new Set([
  'front/call',
  'front/history',
  'front/keyed',
  'front/turn',
]);

/** Kinds whose response describes the node: its values differ from the recording, its fields do not. */
const statusKinds: ReadonlySet<string> = new Set(['front/hello', 'zen/ping', 'zen/node-ping']);

/** Kinds that refer to an outdated cluster state: they may be rejected, but must be understood. */
const outdatedKinds: ReadonlySet<string> = new Set([
  'zen/bootstrap',
  'zen/commit',
  'zen/master-ping',
  'zen/publish',
  'zen/validate',
  'control/list',
  'control/operate',
]);

/** Error codes of a message that was not understood. */
const notUnderstoodCodes: ReadonlySet<string> = new Set(['internal', 'unknown-kind']);

const uniqueBodies = (calls: readonly RecordedCall[]): readonly RecordedCall[] => [
  ...new Map(calls.map((call) => [`${call.kind} ${JSON.stringify(call.body)}`, call])).values(),
];

/** Selects the recorded requests of the given kinds that were answered. */
type SelectCalls = (kinds: ReadonlySet<string>) => readonly RecordedCall[];

/** The text of all chunks together; the division into chunks may differ from that of the original stream. */
const streamedText = (chunks: readonly unknown[]): string =>
  chunks.map((chunk) => z.object({ text: z.string() }).parse(chunk).text).join('');

const assertStoredAnswers = async (cluster: StoredCluster, select: SelectCalls): Promise<void> => {
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

const JsonObject = z.record(z.string(), z.unknown());
const keysOf = (value: unknown): readonly string[] => Object.keys(JsonObject.parse(value)).sort();

const assertUnderstood = (call: RecordedCall, end: Message): void => {
  const { code = '', text = '' } = end.error ?? {};
  assert.not(notUnderstoodCodes.has(code), `${call.kind}: ${code}: ${text}`);
};

const assertStatusAnswers = async (cluster: StoredCluster, select: SelectCalls): Promise<void> => {
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

const assertOutdatedAnswers = async (
  cluster: StoredCluster,
  select: SelectCalls,
): Promise<void> => {
  for (const call of select(outdatedKinds))
    for (const address of cluster.controls) {
      const { end } = await callRaw(address, call);
      assertUnderstood(call, end);
      if (end.error === undefined) messageSchemas.get(call.kind)?.response.parse(end.response);
    }
};

conversation('programs on the stored folders answer the recorded requests in the same format', () =>
  withStoredData(async (folderOf) => {
    const calls = await readConversation();
    const select: SelectCalls = (kinds) =>
      uniqueBodies(calls.filter((call) => kinds.has(call.kind) && call.end !== undefined));
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
