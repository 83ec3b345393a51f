/** Starts a front-proxy: the front, its HTTP listeners, and the loopback address that receives the agent's feed. */
import { randomBytes } from 'node:crypto';
import {
  servePages,
  createStderrLogger,
  createFrontMemory,
  ProcessMemory,
  watchMemory,
  type FrontMemory,
  type ProxySettings,
  type Readiness,
  type RunningProgram,
} from '@tillerstair/settings';
import {
  hostClock,
  TcpTransport,
  type DrainableServer,
  type Logger,
  type RpcRequest,
} from '@tillerstair/wire';
import { createCallerApi } from './caller-api.js';
import { connectionLimit } from './connection-limit.js';
import { productDialect, type Dialect } from './dialect.js';
import { connectTimeoutOf, createFrontBounds } from './front-bounds.js';
import { Front } from './front.js';
import { HttpBackend } from './http-backend.js';
import { createPassHandler, type PassHandler } from './pass-handler.js';
import { RequestMemory } from './request-memory.js';

/** Listeners in addition to the product's own HTTP listener. */
interface AdditionalListeners {
  /** Listeners for callers; they are drained when the front stops. */
  readonly callers: readonly DrainableServer[];
  /** Listeners for health checks; they respond until the front has stopped. */
  readonly healthChecks: readonly DrainableServer[];
}

/** Opens additional listeners for callers and health checks. */
export type OpenListeners = (
  front: Front,
  passHandler: PassHandler,
  memory: FrontMemory,
) => Promise<AdditionalListeners>;

const noAdditionalListeners: OpenListeners = () =>
  Promise.resolve({ callers: [], healthChecks: [] });
const frontIdBytes = 6;
/** Time for sending the last responses before the listeners are closed, in ms. */
const finalResponseGraceMs = 100;

/** Serves the local agent at the loopback address: the front's identity and its feed. */
const serveFeed = async (front: Front, settings: ProxySettings): Promise<TcpTransport> => {
  const transport = new TcpTransport(settings.feed);
  const hello = { id: front.id, addr: settings.addr, http: settings.http };
  const respond = ({ kind, body }: RpcRequest): unknown =>
    kind === 'front/hello' ? hello : front.feed(body);
  await transport.serve(
    (request) =>
      new Promise((resolve) => {
        resolve(respond(request));
      }),
  );
  return transport;
};

const readinessOf = (front: Front): Readiness =>
  front.stopping ? { ready: false, why: 'stopping' } : front.owner.readiness();

const createFront = (
  settings: ProxySettings,
  bounds: () => ProxySettings['bounds'],
  backend: HttpBackend,
  log: Logger,
  memory: FrontMemory,
): Front =>
  new Front({
    id: `f-${randomBytes(frontIdBytes).toString('hex')}`,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen, {
      replyMemory: memory.replies,
    }),
    backend,
    bounds: createFrontBounds(settings, bounds),
    log,
    affinity: settings.affinity,
    memory,
  });

/**
 * Starts a front-proxy. `dialect` holds the header names on pass routes; `openListeners` opens additional listeners.
 * `stop` of the result stops the front first, then all listeners, the feed and the connections to servers.
 */
export const startProxy = async (
  settings: ProxySettings,
  dialect: Dialect = productDialect,
  openListeners: OpenListeners = noAdditionalListeners,
): Promise<RunningProgram<ProxySettings>> => {
  const log = createStderrLogger('proxy', settings.log);
  watchMemory(log, settings.memoryMb);
  const memory = createFrontMemory(new ProcessMemory(settings.memoryMb));
  let { bounds } = settings;
  const backend: HttpBackend = new HttpBackend(
    {
      connectTimeoutMs: connectTimeoutOf(bounds),
      maxConnections: (url) => connectionLimit(front.owner.current, url),
    },
    dialect,
  );
  const front = createFront(settings, () => bounds, backend, log, memory);
  const feed = await serveFeed(front, settings);
  await front.start();
  const maxBodyBytes = (): number =>
    front.owner.current?.config?.limits.bodyBytes ?? settings.bodyMost;
  const { unsent, pages } = memory;
  const requests = new RequestMemory(memory.requests);
  const passHandler = createPassHandler(front, dialect, maxBodyBytes, { requests, unsent });
  const callerApi = createCallerApi(front, settings.bodyMost, passHandler, unsent);
  const http = await servePages(settings.http, () => readinessOf(front), pages, callerApi);
  const listeners = await openListeners(front, passHandler, memory);
  log.info(`Serving callers at ${settings.http}.`);
  return {
    reload: (next) => {
      ({ bounds } = next);
    },
    stop: async () => {
      const callers = [http, ...listeners.callers];
      await front.stop(callers);
      const servers = [...callers, ...listeners.healthChecks];
      await Promise.all(servers.map((server) => server.closeWithin(finalResponseGraceMs)));
      await feed.close();
      await backend.close();
    },
  };
};
