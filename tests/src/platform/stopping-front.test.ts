/** A front that is told to stop, as real processes: clients go on using their open connections until it is gone. */
import { once } from 'node:events';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { until } from '@tillerstair/fleet';
import { passHost } from '@tillerstair/sim';
import { KeptConnection, type KeptAnswer } from '@tillerstair/stand-ins';
import { delay, hostClock } from '@tillerstair/wire';
import { startServer, type TestServer } from '../support/http-server.js';
import { call } from '../support/interface-calls.js';
import { configuration, play, tryOf } from '../support/platform-servers.js';
import { graceMs, listUp, systemUp } from '../support/platform-system.js';

const stopping = suite('a front that is told to stop');

/** How long a stream of the stand-in engine lasts, in ms. */
const streamMs = 1200;
/** Clients that wait on open connections, and how long after the signal each sends its next request, in ms. */
const connections = 24;
const nextRequestEveryMs = 150;
/** So many programs in a row are served before a test begins: each front has its slots by then. */
const programsServed = 20;
/** A connection may end this long after a request's last byte, if nothing was passed on (`lossSlackMs`). */
const lossSlackMs = 200;

let engine: TestServer;
let list: Awaited<ReturnType<typeof listUp>>;
let system: Awaited<ReturnType<typeof systemUp>>;

/** Two machines, so that requests are passed on to the front that owns their program. */
const fronts = 2;

/** Streams two events, the second after `streamMs`; every other request is answered as elsewhere. */
const playSlowly: typeof play = (asked, res, req) => {
  if (!asked.path.endsWith('/slow')) return play(asked, res, req);
  res.writeHead(200, [
    ...['Try-Id', tryOf(asked)],
    ...['Server-Seal', 'seal.1'],
    ...['Content-Type', 'text/event-stream'],
  ]);
  res.write('id: 1\ndata: one\n\n');
  hostClock.after(streamMs, () => res.end('id: 2\ndata: two\n\n'));
};

/** A request that was sent, with its try. */
interface Sent extends KeptAnswer {
  readonly attempt: string;
}

/** Sends a turn of a program of its own, so that every owner is asked. */
const sendTurn = async (
  connection: KeptConnection,
  path: string,
  attempt: string,
): Promise<Sent> => {
  const headers = [
    `Host: ${passHost}`,
    `Try-Id: ${attempt}`,
    `Program: of-${attempt}`,
    'Token-Count: 10,20',
    'Time-Left-Ms: 3000',
  ];
  return { attempt, ...(await connection.send({ path, headers, body: 'x' })) };
};

const openConnection = (): Promise<KeptConnection> =>
  KeptConnection.open(`127.0.0.1:${system.ports.front}`);

const bringUp = async (): Promise<void> => {
  engine = await startServer(playSlowly);
  list = await listUp(() => [
    {
      serverId: 'i-engine',
      depot: 'engines',
      address: `127.0.0.1:${engine.port}`,
      state: 'accepting',
    },
  ]);
  system = await systemUp(list.port, fronts);
  const { control, ready } = system.ports;
  const order = JSON.stringify(configuration(5));
  await until('a configuration', 30000, async () => {
    const heard = await call(control, 'PUT', '/configuration', ['If-Match', '0'], order).catch(
      () => undefined,
    );
    return heard?.status === 200;
  });
  await until('a ready front', 20000, async () => {
    const heard = await call(ready, 'GET', '/readiness').catch(() => undefined);
    return heard?.status === 200;
  });
  let served = 0;
  await until('turns of many programs', 20000, async () => {
    const connection = await openConnection();
    const { status } = await sendTurn(connection, '/turn/x', `first-${served}`);
    connection.close();
    served = status === 200 ? served + 1 : 0;
    return served === programsServed;
  });
};

const takeDown = async (): Promise<void> => {
  await system.close();
  list.close();
  engine.close();
};

/** Signals the machine of the front as the platform does: SIGTERM to all its processes, SIGKILL after the grace. */
const stopFrontMachine = () => {
  const signalledAt = hostClock.now();
  const ended = system.started
    .filter(({ name }) => name === 'counter-1')
    .map(async ({ role, child }) => {
      const killer = hostClock.after(graceMs, () => child.kill('SIGKILL'));
      const exited = once(child, 'exit');
      child.kill('SIGTERM');
      await exited;
      killer.stop();
      return { role, code: child.exitCode, afterMs: hostClock.now() - signalledAt };
    });
  return { signalledAt, ended: Promise.all(ended) };
};

/** What was lost: an answer that is not complete though the request was passed on, or was read and left for long. */
const lossesOf = (
  answers: readonly Sent[],
  passedOn: ReadonlySet<string>,
  signalledAt: number,
): readonly string[] =>
  answers
    .filter(
      ({ attempt, complete, sentAt, endedAt }) =>
        !complete && (passedOn.has(attempt) || endedAt - sentAt > lossSlackMs),
    )
    .map(
      ({ attempt, status, sentAt, endedAt }) =>
        `${attempt} sent ${Math.round(sentAt - signalledAt)} ms after SIGTERM, ` +
        `${passedOn.has(attempt) ? 'passed on' : 'not passed on'}, ended with ${status} ` +
        `after ${Math.round(endedAt - sentAt)} ms`,
    );

stopping.before.each(bringUp);
stopping.after.each(takeDown);

stopping('loses no request on connections that clients keep using until it is gone', async () => {
  const open = await Promise.all(Array.from({ length: connections }, openConnection));
  const warm = await Promise.all(
    open.map((connection, n) => sendTurn(connection, '/turn/x', `warm-${n}`)),
  );
  assert.ok(warm.every(({ complete }) => complete));
  const { signalledAt, ended } = stopFrontMachine();
  const answers = await Promise.all(
    open.map(async (connection, n) => {
      const sent: Sent[] = [];
      await delay(hostClock, n * nextRequestEveryMs);
      for (let i = 0; !connection.closed; i++) {
        sent.push(await sendTurn(connection, '/turn/slow', `kept-${n}-${i}`));
      }
      return sent;
    }),
  );
  const passedOn = new Set(engine.seen.map((asked) => tryOf(asked)));
  assert.equal(lossesOf(answers.flat(), passedOn, signalledAt), []);
  assert.ok(answers.flat().some(({ complete, status }) => complete && status === 200));
  const proxy = (await ended).find(({ role }) => role === 'front-proxy');
  assert.is(proxy?.code, 0, `the proxy ended by itself, after ${proxy?.afterMs} ms`);
});

stopping('ends by itself though a client holds a connection that it never used', async () => {
  const unused = await openConnection();
  const { ended } = stopFrontMachine();
  const proxy = (await ended).find(({ role }) => role === 'front-proxy');
  unused.close();
  assert.is(proxy?.code, 0, `the proxy was killed after ${proxy?.afterMs} ms`);
});

stopping.run();
