/** The HTTP client of servers with stand-in servers: truncated streams, invalid streams and withdrawn requests. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { freePorts } from '@tillerstair/fleet';
import { HttpBackend } from '@tillerstair/proxy';
import { ExecutionLog, ModelServer, ServiceServer } from '@tillerstair/stand-ins';
import { serveHttp } from '@tillerstair/wire';

const backend = suite('the HTTP client of servers');
const neverAborted = new AbortController().signal;
const turnRequest = {
  id: 'i',
  messages: [{ role: 'user' as const, text: 'hello' }],
  maxTokens: 64,
  requestId: 'i',
};
const callRequest = { id: 'i', key: 'k', path: '/hold', body: '{}', requestId: 'i' };

const serverAt = (port: number) => ({
  id: 's',
  pool: 'p',
  url: `http://127.0.0.1:${port}`,
  draining: false,
  down: false,
  zone: '',
  places: 0,
});

const startScriptedServer = async (
  lines: readonly string[],
): Promise<{ port: number; close: () => void }> => {
  const [port = 0] = await freePorts(1);
  const http = await serveHttp(`127.0.0.1:${port}`, (_req, res) => {
    res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    res.end(lines.map((line) => `${line}\n`).join(''));
    return Promise.resolve();
  });
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, close };
};

const createClient = (): HttpBackend =>
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
    serverAt(port),
    turnRequest,
    (_index, text) => onChunk(text),
    neverAborted,
    5000,
    () => true,
  );

backend(
  'a turn is lost immediately if its model server closes early or omits the end of the stream',
  async () => {
    const client = createClient();
    for (const faults of [{ cutAfter: 1 }, { loseEnd: 1 }]) {
      const [port = 0] = await freePorts(1);
      const model = await startModel(port);
      model.set(faults);
      const chunks: string[] = [];
      const outcome = await generate(client, port, (text) => chunks.push(text));
      assert.is(outcome.kind, 'lost');
      assert.ok(chunks.length >= 3);
      model.set({ cutAfter: 0, loseEnd: 0 });
      assert.is((await generate(client, port, () => undefined)).kind, 'done');
      await model.stop();
      assert.is((await generate(client, port, () => undefined)).kind, 'never-left');
    }
    await client.close();
  },
);

backend('a call is lost immediately if its service omits the end of the response', async () => {
  const client = createClient();
  const [port = 0] = await freePorts(1);
  const service = new ServiceServer(
    { id: 's', pool: 'p', addr: `127.0.0.1:${port}`, leastMs: 1, mostMs: 2 },
    new ExecutionLog(),
  );
  service.set({ loseEnd: 1 });
  await service.start();
  assert.is(
    (await client.act(serverAt(port), callRequest, neverAborted, 5000, () => true)).kind,
    'lost',
  );
  service.set({ loseEnd: 0 });
  assert.is(
    (await client.act(serverAt(port), callRequest, neverAborted, 5000, () => true)).kind,
    'done',
  );
  await service.stop();
  assert.is(
    (await client.act(serverAt(port), callRequest, neverAborted, 5000, () => true)).kind,
    'never-left',
  );
  await client.close();
});

backend(
  'a turn with a foreign id, a skipped or repeated chunk, a wrong count or no end is never a success',
  async () => {
    const client = createClient();
    const chunk = (index: number, id = 'i') => JSON.stringify({ id, n: index, text: 'x' });
    const end = (chunks: number, id = 'i') => JSON.stringify({ id, end: true, chunks });
    const invalidStreams = [
      [chunk(0, 'other'), end(1)],
      [chunk(0), chunk(2), end(2)],
      [chunk(0), chunk(0), end(2)],
      [chunk(0), end(2)],
      [chunk(0), end(1, 'other')],
      [chunk(0)],
      ['nonsense'],
      [],
    ];
    for (const lines of invalidStreams) {
      const server = await startScriptedServer(lines);
      assert.is(
        (
          await client.generate(
            serverAt(server.port),
            turnRequest,
            () => undefined,
            neverAborted,
            3000,
            () => true,
          )
        ).kind,
        'lost',
        lines.join(),
      );
      server.close();
    }
    const validServer = await startScriptedServer([chunk(0), chunk(1), end(2)]);
    assert.is(
      (
        await client.generate(
          serverAt(validServer.port),
          turnRequest,
          () => undefined,
          neverAborted,
          3000,
          () => true,
        )
      ).kind,
      'done',
    );
    validServer.close();
    await client.close();
  },
);

backend(
  'whether a request may still run is checked again right before its first byte is written',
  async () => {
    const client = createClient();
    const [port = 0] = await freePorts(1);
    const executionLog = new ExecutionLog();
    const service = new ServiceServer(
      { id: 's', pool: 'p', addr: `127.0.0.1:${port}`, leastMs: 1, mostMs: 2 },
      executionLog,
    );
    await service.start();
    let checks = 0;
    const outcome = await client.act(serverAt(port), callRequest, neverAborted, 5000, () => {
      checks++;
      return false;
    });
    assert.is(outcome.kind, 'declined');
    assert.is(checks, 1);
    assert.is(
      (await client.act(serverAt(port), callRequest, neverAborted, 5000, () => true)).kind,
      'done',
    );
    assert.is(executionLog.all().length, 1);
    const turnOutcome = await client.generate(
      serverAt(port),
      turnRequest,
      () => undefined,
      neverAborted,
      5000,
      () => false,
    );
    assert.is(turnOutcome.kind, 'declined');
    await service.stop();
    await client.close();
  },
);

backend.run();
