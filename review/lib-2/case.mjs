/** What the scripts of the second review share: their record, their time limit, their exit status, and a deployment. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { putConfiguration, waitUntilReady } from './clients.mjs';
import { delay, Deployment } from './deployment.mjs';
import { ServerList } from './servers.mjs';

const exitStatus = { held: 0, broken: 1, notRun: 2 };
const timeLimitMs = 112000;

/** Whether the script plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The case could not run as it should, so that it says nothing about the rule. */
export class NotRunError extends Error {}

/** A service of the configuration. */
export const serviceOf = (name, more = {}) => ({
  name,
  healthPath: '/health',
  connLimit: 180,
  protocol: 'h1',
  tlsMode: false,
  selfDedupes: false,
  ...more,
});

/** The engine of a service of model servers, as on the sheet; an event has `strideTokens` tokens. */
export const engineOf = (berths) => ({
  berths,
  cacheTokens: 604753,
  strideTokens: 20,
  models: [{ name: 'm' }],
});

/** A route of the configuration for one host. */
export const routeOf = (name, wayKind, pathPrefix, depot, more = {}) => ({
  name,
  host: 'shop.example',
  pathPrefix,
  wayKind,
  deadlineMs: 3000,
  targetMs: 250,
  urgency: 1,
  depot,
  tries: 1,
  retained: false,
  retainS: 60,
  ...more,
});

/** A whole configuration. */
export const configurationOf = (edition, ways, depots) => ({
  edition,
  ways,
  depots,
  intakeLimits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerWaitMs: 3000,
    idleCloseMs: 15000,
  },
});

/** The record of one run, in the order of time, in ms since its start. */
class CaseRecord {
  lines = [];
  startedAt = Date.now();

  add(kind, fields = {}) {
    const entry = { at: Date.now() - this.startedAt, kind, ...fields };
    this.lines.push(entry);
    return entry;
  }

  write(folder) {
    const text = this.lines.map((line) => `${JSON.stringify(line)}\n`).join('');
    writeFileSync(join(folder, 'record.txt'), text);
  }
}

/** The system under test with its stand-ins. */
class Trial {
  constructor(record) {
    this.record = record;
    this.list = new ServerList();
    this.servers = [];
  }

  /** Starts servers, the platform's list and all programs; resolves once the configuration is taken and fronts are ready. */
  async start({ fronts, servers, configuration }) {
    await this.list.start();
    this.servers = servers;
    for (const server of servers) await server.start();
    this.list.servers = servers.map((server) => server.listed);
    this.deployment = new Deployment({
      fronts,
      record: (kind, fields) => this.record.add(kind, fields),
      cloudAddress: this.list.address,
    });
    await this.deployment.start();
    const answer = await putConfiguration(this.controls, 0, configuration);
    if (answer?.status !== 200) throw new NotRunError('the first configuration was not taken');
    this.record.add('configuration', { edition: configuration.edition, status: answer.status });
    if (!(await waitUntilReady(this.fronts))) throw new NotRunError('the fronts are not ready');
    this.deployment.bootstrapped();
  }

  get fronts() {
    return this.deployment.of('counter');
  }

  get controls() {
    return this.deployment.of('sorting');
  }

  get stores() {
    return this.deployment.of('vault');
  }

  async end() {
    await this.deployment?.end();
    for (const server of this.servers) server.end();
    this.list.end();
  }
}

const timeLimit = async () => {
  await delay(timeLimitMs);
  throw new NotRunError('the time limit has passed');
};

/**
 * Runs a case and ends this process: with 1 if `play` resolves with what broke the rule, 0 if it resolves with an empty
 * text, 2 if the case could not run. `play` gets a trial and its record.
 */
export const runCase = async (folder, play) => {
  const record = new CaseRecord();
  const trial = new Trial(record);
  let status = exitStatus.notRun;
  try {
    const broken = await Promise.race([play(trial, record), timeLimit()]);
    status = broken === '' ? exitStatus.held : exitStatus.broken;
    record.add('verdict', { broken: broken || 'nothing' });
  } catch (error) {
    record.add('verdict', { notRun: error instanceof NotRunError ? error.message : error.stack });
  }
  await trial.end().catch((error) => record.add('end', { error: error.message }));
  record.write(folder);
  process.stdout.write(`${JSON.stringify(record.lines.find(({ kind }) => kind === 'verdict'))}\n`);
  process.exit(status);
};
