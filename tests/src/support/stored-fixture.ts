/** Reads the data folders and node-to-node messages of an earlier version, recorded by `tests/fixtures/make.mjs`. */
import { cp, mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { z } from 'zod';
import { repositoryRoot } from './repository.js';

const fixtureFolder = join(repositoryRoot, 'tests', 'fixtures', 'v0');

const StoredItem = z.object({
  key: z.string(),
  ownershipEpoch: z.number(),
  seq: z.number(),
  value: z.unknown(),
});

const StoredElection = z.object({
  id: z.string(),
  term: z.number(),
  votedFor: z.string(),
  bootstrapVote: z.array(z.unknown()),
  accepted: z.array(z.tuple([z.string(), z.string()])),
});

const StoredReplicas = z.object({
  fences: z.array(z.tuple([z.number(), z.number()])),
  items: z.array(z.object({ slot: z.number(), item: StoredItem })),
  hints: z.array(
    z.object({ n: z.number(), to: z.string(), slot: z.number(), items: z.array(StoredItem) }),
  ),
});

const Expected = z.object({
  slots: z.number(),
  tenant: z.string(),
  config: z.object({ version: z.number(), text: z.string(), digest: z.string() }).loose(),
  answers: z.object({
    turns: z.array(
      z.object({
        program: z.string(),
        after: z.string().nullable(),
        turn: z.string(),
        key: z.string(),
        text: z.string(),
        tokens: z.number(),
        sent: z.string(),
      }),
    ),
    calls: z.array(z.object({ key: z.string(), body: z.unknown(), text: z.string() })),
    keyed: z.array(z.object({ path: z.string(), key: z.string(), body: z.string() })),
    programs: z.array(z.object({ program: z.string(), history: z.unknown() })),
  }),
  nodes: z.record(
    z.string(),
    z.object({ election: StoredElection, replicas: StoredReplicas.optional() }),
  ),
});
/** What the recorded programs answered and stored, by program and node. */
export type Expected = z.infer<typeof Expected>;

const Row = z.object({
  connection: z.number(),
  by: z.enum(['client', 'server']),
  line: z.string(),
});

const Message = z.object({
  hello: z.string().optional(),
  to: z.string().optional(),
  id: z.number().optional(),
  kind: z.string().optional(),
  body: z.unknown().optional(),
  chunk: z.unknown().optional(),
  response: z.unknown().optional(),
  error: z.object({ code: z.string(), text: z.string(), executed: z.string() }).optional(),
});
/** A node-to-node message, with the fields of all kinds of lines. */
export type Message = z.infer<typeof Message>;

/** A recorded request with all replies to it. */
export interface RecordedCall {
  readonly from: string;
  readonly to: string;
  readonly kind: string;
  readonly body: unknown;
  /** The request as it was sent. */
  readonly line: string;
  /** The first line of its connection. */
  readonly helloLine: string;
  readonly chunks: readonly unknown[];
  /** The final reply; undefined if the connection closed before it. */
  readonly end: Message | undefined;
}

/** Reads the answers of the programs that wrote the fixture, and the contents of their data folders. */
export const readExpected = async (): Promise<Expected> =>
  Expected.parse(JSON.parse(await readFile(join(fixtureFolder, 'expected.json'), 'utf8')));

/** Parses one line of a connection. */
export const parseMessage = (line: string): Message => Message.parse(JSON.parse(line));

/** Reads all recorded requests, in the order in which they were sent. */
export const readConversation = async (): Promise<readonly RecordedCall[]> => {
  const text = await readFile(join(fixtureFolder, 'conversation.jsonl'), 'utf8');
  const rows = text
    .split('\n')
    .slice(0, -1)
    .map((line) => Row.parse(JSON.parse(line)));
  const hellos = new Map<number, string>();
  const answers = new Map<string, Message[]>();
  for (const { connection, by, line } of rows) {
    const message = parseMessage(line);
    if (message.hello !== undefined) hellos.set(connection, line);
    if (by === 'client' || message.id === undefined) continue;
    const call = `${connection} ${message.id}`;
    answers.set(call, [...(answers.get(call) ?? []), message]);
  }
  return rows.flatMap(({ connection, by, line }): readonly RecordedCall[] => {
    const { id, kind, body } = parseMessage(line);
    if (by === 'server' || id === undefined || kind === undefined) return [];
    const helloLine = hellos.get(connection) ?? '';
    const { hello = '', to = '' } = parseMessage(helloLine);
    const messages = answers.get(`${connection} ${id}`) ?? [];
    const chunks = messages.flatMap((reply) => (reply.chunk === undefined ? [] : [reply.chunk]));
    const end = messages.find((reply) => reply.response !== undefined || reply.error !== undefined);
    return [{ from: hello, to, kind, body, line, helloLine, chunks, end }];
  });
};

/** Runs `use` on a temporary copy of the data folders, since programs write to them. */
export const withStoredData = async (
  use: (folderOf: (name: string) => string) => Promise<void>,
): Promise<void> => {
  const copy = await mkdtemp(join(tmpdir(), 'tillerstair-stored-'));
  try {
    await cp(fixtureFolder, copy, { recursive: true });
    await use((name) => join(copy, name));
  } finally {
    await rm(copy, { recursive: true, maxRetries: 3 });
  }
};
