/**
 * One key, two runs: a keyed operation whose answer is lost is sent again to another service, whose table of keys knows
 * nothing of it.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep, startDeployment } from '../rig/deployment.mjs';
import { send } from '../rig/http-client.mjs';
import { runCase } from '../rig/run-case.mjs';
import { startServer } from '../rig/servers.mjs';

const services = ['notices1', 'notices2'];
const workMs = 60;
const operationsPerSecond = 110;
const trafficMs = 14000;
/** The trouble lasts 5 s, as `answer_lost` does on the gagu-host sheet. */
const troubleFromMs = 5000;
const troubleToMs = 10000;
const clientTries = 3;
const passWindowMs = 60000;
/** One server of each service, half of them, loses the answer of every nineteenth request that it runs: 0.053. */
const lostEvery = 19;

const configuration = {
  edition: 1,
  ways: [
    {
      name: 'r-book',
      host: 'shop.example',
      pathPrefix: '/book/',
      wayKind: 'keyed_once',
      deadlineMs: 1500,
      targetMs: 200,
      urgency: 2,
      dispatch: services.map((depot) => ({ depot, share: 50 })),
      tries: 2,
    },
  ],
  depots: services.map((name) => ({
    name,
    healthPath: '/health',
    connLimit: 110,
    protocol: 'h1',
    tlsMode: false,
    selfDedupes: true,
  })),
  intakeLimits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerWaitMs: 3000,
    idleCloseMs: 15000,
  },
};

/** The table of keys that the servers of one service share: what each key's run answered, or that it still runs. */
const createKeyTable = () => new Map();

const reply = (res, tryId, seal, body) =>
  res
    .writeHead(200, { 'Try-Id': tryId, 'Server-Seal': seal, 'Content-Length': body.length })
    .end(body);

const startDedupingServer = (depot, table, losesAnswers, note) => {
  let runs = 0;
  return startServer({ depot, berths: 6 }, async ({ tryId, seal, req, res, run }) => {
    const key = req.headers['operation-key'];
    const known = table.get(key);
    run.isRepeat = known !== undefined;
    if (known) {
      note('repeat at the service', { depot, key, tryId, answered: known.body !== undefined });
      if (known.body === undefined)
        res.writeHead(409, { 'Try-Id': tryId, 'Not-Run': '1', 'Content-Length': '0' }).end();
      else reply(res, tryId, known.seal, known.body);
      return;
    }
    const entry = { seal, body: undefined };
    table.set(key, entry);
    await sleep(workMs);
    entry.body = `booked ${key} at ${depot}`;
    Object.assign(run, { key, depot, completedAt: Date.now() });
    const isLost = losesAnswers() && ++runs % lostEvery === 0;
    note('ran', { depot, key, tryId, seal, answer: isLost ? 'lost' : 'sent' });
    if (isLost) req.socket.resetAndDestroy();
    else reply(res, tryId, seal, entry.body);
  });
};

/** One operation of a client: tries with the same key until one has a final answer. */
const operate = async (deployment, n, note) => {
  const key = `k-${n}`;
  for (let attempt = 0; attempt < clientTries; attempt++) {
    const tryId = `${Date.now().toString(16)}-${n}-${attempt}`;
    const answer = await send({
      ...deployment.frontAddress(n + attempt),
      path: '/book/x',
      headers: {
        Host: 'shop.example',
        'Try-Id': tryId,
        'Operation-Key': key,
        'Time-Left-Ms': 1500,
      },
      body: `slot ${n}`,
    });
    note('answered', { key, tryId, status: answer.status, body: answer.body.slice(0, 60) });
    if (answer.status === 200) return;
    await sleep(200);
  }
};

/** Every key that two runs stand for, neither of which broke off, the second within the window. */
const findDoubleRuns = (servers) => {
  const runsOf = new Map();
  for (const { ran } of servers)
    for (const run of ran)
      if (run.completedAt !== undefined) runsOf.set(run.key, [...(runsOf.get(run.key) ?? []), run]);
  return [...runsOf].flatMap(([key, runs]) => {
    const [first, second] = runs.sort((a, b) => a.at - b.at);
    if (!second || second.at - first.at >= passWindowMs) return [];
    const runAt = runs.map(({ depot, tryId, at }) => ({ depot, tryId, at }));
    return [{ rule: 'TWICE', key, runs: runAt }];
  });
};

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ trouble, note, own }) => {
  let trafficStartedAt = Infinity;
  const isTrouble = () => {
    const elapsed = Date.now() - trafficStartedAt;
    return trouble && elapsed >= troubleFromMs && elapsed < troubleToMs;
  };
  const servers = [];
  for (const depot of services) {
    const table = createKeyTable();
    for (const losesAnswers of [isTrouble, () => false])
      servers.push(own(await startDedupingServer(depot, table, losesAnswers, note)));
  }
  const entries = () => servers.map(({ entry }) => entry);
  const deployment = own(await startDeployment({ servers: entries }));
  await deployment.configure(0, configuration);
  await deployment.waitUntilReady();
  trafficStartedAt = Date.now();
  const running = [];
  for (let elapsed = 0; elapsed < trafficMs; elapsed = Date.now() - trafficStartedAt) {
    const due = (elapsed * operationsPerSecond) / 1000;
    while (running.length < due) running.push(operate(deployment, running.length, note));
    await sleep(10);
  }
  await Promise.all(running);
  return findDoubleRuns(servers);
});
