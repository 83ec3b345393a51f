/** Memory for replies that are not sent yet: what is refused, when, and that it is given back. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { freePorts, until } from '@tillerstair/fleet';
import { ByteBudget, SizedReply, TcpTransport, toRpcError } from '@tillerstair/wire';

const replies = suite('memory for replies');

const limitBytes = 1000;
const timeoutMs = 2000;

/** A text that counts how often it is encoded. */
class CountedBody {
  encodings = 0;

  constructor(private readonly text: string) {}

  *jsonParts(): Generator<string> {
    this.encodings++;
    yield JSON.stringify(this.text);
  }
}

const replyWith = (body: CountedBody, estimatedBytes: number): SizedReply =>
  new SizedReply(body, estimatedBytes, () => body.jsonParts());

interface Pair {
  readonly budget: ByteBudget;
  /** Requests a reply with this body; its error code, or 'done'. */
  readonly request: (reply: unknown) => Promise<string>;
}

/** The transports that the present test has started. */
const started = new Set<TcpTransport>();

replies.after.each(async () => {
  for (const transport of started) await transport.close();
  started.clear();
});

/** A server with little memory for replies, and a client of it. */
const startPair = async (): Promise<Pair> => {
  const [clientPort = 0, serverPort = 0] = await freePorts(2);
  const budget = new ByteBudget(limitBytes, new ByteBudget(limitBytes));
  const client = new TcpTransport(`127.0.0.1:${clientPort}`);
  const self = `127.0.0.1:${serverPort}`;
  const server = new TcpTransport(self, self, { replyMemory: budget });
  started.add(client).add(server);
  let next: unknown;
  await server.serve(() => Promise.resolve(next));
  return {
    budget,
    request: (reply) => {
      next = reply;
      return client.call(self, 'x', null, { timeoutMs }).then(
        () => 'done',
        (thrown: unknown) => toRpcError(thrown).code,
      );
    },
  };
};

// Guards against replies that are encoded only to be refused, which fill the heap with garbage (SIGABRT).
replies('a reply for which there is no memory is not encoded', async () => {
  const { budget, request } = await startPair();
  const body = new CountedBody('x'.repeat(2 * limitBytes));
  assert.is(await request(replyWith(body, 2 * limitBytes)), 'memory-full');
  assert.is(body.encodings, 0);
  assert.is(budget.used, 0);
});

// Guards against estimates that count in place of the bytes that are sent.
replies(
  'a reply that is larger than its estimate is refused, and gives its memory back',
  async () => {
    const { budget, request } = await startPair();
    const body = new CountedBody('x'.repeat(2 * limitBytes));
    assert.is(await request(replyWith(body, 1)), 'memory-full');
    assert.is(body.encodings, 1);
    assert.is(budget.used, 0);
  },
);

replies('a reply that fits is sent whole, and gives its memory back', async () => {
  const { budget, request } = await startPair();
  const body = new CountedBody('x'.repeat(limitBytes / 2));
  assert.is(await request(replyWith(body, limitBytes / 2 + 100)), 'done');
  assert.is(body.encodings, 1);
  await until('the memory is given back', timeoutMs, () => Promise.resolve(budget.used === 0));
});

replies.run();
