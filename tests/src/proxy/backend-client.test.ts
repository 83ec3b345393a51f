import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { freePorts } from '@tillerstair/fleet';
import { HttpBackend } from '@tillerstair/proxy';
import { ExecutionLog, ModelServer, ServiceServer } from '@tillerstair/stand-ins';
import { serveHttp } from '@tillerstair/wire';

const backend = suite('what servers do to the client of them');
const never = new AbortController().signal;
const say = {
  id: 'i',
  messages: [{ role: 'user' as const, text: 'hello' }],
  maxTokens: 64,
  requestId: 'i',
};
const act = { id: 'i', key: 'k', path: '/hold', body: '{}', requestId: 'i' };

const at = (port: number) => ({
  id: 's',
  pool: 'p',
  url: `http://127.0.0.1:${port}`,
  draining: false,
  down: false,
  zone: '',
  places: 0,
});

const raw = async (lines: readonly string[]): Promise<{ port: number; close: () => void }> => {
  const [port = 0] = await freePorts(1);
  const http = await serveHttp(`127.0.0.1:${port}`, (_req, res) => {
    res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    res.end(lines.map((l) => `${l}\n`).join(''));
    return Promise.resolve();
  });
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, close };
};

const clientOf = (): HttpBackend =>
  new HttpBackend({ connectTimeoutMs: 500, maxConnections: () => 8 });

const startModel = async (port: number): Promise<ModelServer> => {
  const model = new ModelServer(
    {
      id: 'm',
      pool: 'p',
      addr: `127.0.0.1:${port}`,
      prefillMsPerKb: 0,
      msPerToken: 1,
      slots: 8,
      cacheKb: 64,
    },
    new ExecutionLog(),
  );
  await model.start();
  return model;
};

const generate = (client: HttpBackend, port: number, onChunk: (text: string) => void) =>
  client.generate(
    at(port),
    say,
    (_n, text) => onChunk(text),
    never,
    5000,
    () => true,
  );

backend('a model server that closes early or loses its end is "lost", at once', async () => {
  const client = clientOf();
  for (const faults of [{ cutAfter: 1 }, { loseEnd: 1 }]) {
    const [port = 0] = await freePorts(1);
    const model = await startModel(port);
    model.set(faults);
    const chunks: string[] = [];
    const ended = await generate(client, port, (text) => chunks.push(text));
    assert.is(ended.kind, 'lost');
    assert.ok(chunks.length >= 3);
    model.set({ cutAfter: 0, loseEnd: 0 });
    assert.is((await generate(client, port, () => undefined)).kind, 'done');
    await model.stop();
    assert.is((await generate(client, port, () => undefined)).kind, 'never-left');
  }
  await client.close();
});

backend('a service that loses its end is "lost", at once', async () => {
  const client = clientOf();
  const [port = 0] = await freePorts(1);
  const service = new ServiceServer(
    { id: 's', pool: 'p', addr: `127.0.0.1:${port}`, leastMs: 1, mostMs: 2 },
    new ExecutionLog(),
  );
  service.set({ loseEnd: 1 });
  await service.start();
  assert.is((await client.act(at(port), act, never, 5000, () => true)).kind, 'lost');
  service.set({ loseEnd: 0 });
  assert.is((await client.act(at(port), act, never, 5000, () => true)).kind, 'done');
  await service.stop();
  assert.is((await client.act(at(port), act, never, 5000, () => true)).kind, 'never-left');
  await client.close();
});

backend(
  'foreign ids, gaps, repeats, false counts and missing ends are never a success',
  async () => {
    const client = clientOf();
    const chunk = (n: number, id = 'i') => JSON.stringify({ id, n, text: 'x' });
    const end = (chunks: number, id = 'i') => JSON.stringify({ id, end: true, chunks });
    const wrong = [
      [chunk(0, 'other'), end(1)],
      [chunk(0), chunk(2), end(2)],
      [chunk(0), chunk(0), end(2)],
      [chunk(0), end(2)],
      [chunk(0), end(1, 'other')],
      [chunk(0)],
      ['nonsense'],
      [],
    ];
    for (const lines of wrong) {
      const server = await raw(lines);
      assert.is(
        (
          await client.generate(
            at(server.port),
            say,
            () => undefined,
            never,
            3000,
            () => true,
          )
        ).kind,
        'lost',
        lines.join(),
      );
      server.close();
    }
    const good = await raw([chunk(0), chunk(1), end(2)]);
    assert.is(
      (
        await client.generate(
          at(good.port),
          say,
          () => undefined,
          never,
          3000,
          () => true,
        )
      ).kind,
      'done',
    );
    good.close();
    await client.close();
  },
);

backend(
  'work that had to wait for its connection is looked at once more before a byte leaves',
  async () => {
    const client = clientOf();
    const [port = 0] = await freePorts(1);
    const ledger = new ExecutionLog();
    const service = new ServiceServer(
      { id: 's', pool: 'p', addr: `127.0.0.1:${port}`, leastMs: 1, mostMs: 2 },
      ledger,
    );
    await service.start();
    let looks = 0;
    const ended = await client.act(at(port), act, never, 5000, () => {
      looks++;
      return false;
    });
    assert.is(ended.kind, 'declined');
    assert.is(looks, 1);
    assert.is((await client.act(at(port), act, never, 5000, () => true)).kind, 'done');
    assert.is(ledger.all().length, 1);
    const taken = await client.generate(
      at(port),
      say,
      () => undefined,
      never,
      5000,
      () => false,
    );
    assert.is(taken.kind, 'declined');
    await service.stop();
    await client.close();
  },
);

backend.run();
