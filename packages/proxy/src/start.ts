/** Starts a front-proxy: a front, its pages and listeners, and the loopback address where its agent feeds it. */
import { randomBytes } from 'node:crypto';
import {
  servePages,
  createStderrLogger,
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

/** Further listeners beside the product's own pages. */
interface FurtherListeners {
  /** Those for callers; they are drained with the front. */
  readonly callers: readonly DrainableServer[];
  /** Those for whoever watches the front; they answer until it has ended. */
  readonly watchers: readonly DrainableServer[];
}

/** Opens further listeners for callers, beside the product's own pages. */
export type OpenListeners = (front: Front, passHandler: PassHandler) => Promise<FurtherListeners>;

const noListeners: OpenListeners = () => Promise.resolve({ callers: [], watchers: [] });
const frontIdBytes = 6;
/** What a request whose time is over may still take to be told so, in ms. */
const lastAnswersMs = 100;

/** Serves the agent beside the front at a loopback address: who the front is, and its feed. */
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
): Front =>
  new Front({
    id: `f-${randomBytes(frontIdBytes).toString('hex')}`,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen),
    backend,
    bounds: createFrontBounds(settings, bounds),
    log,
    affinity: settings.affinity,
  });

/**
 * Starts a front-proxy. `dialect` names the headers of pass routes; `openListeners` opens further listeners for callers.
 * What it returns stops in order: the front first, then listeners, pages, feed and connections to servers.
 */
export const startProxy = async (
  settings: ProxySettings,
  dialect: Dialect = productDialect,
  openListeners: OpenListeners = noListeners,
): Promise<RunningProgram<ProxySettings>> => {
  const log = createStderrLogger('proxy', settings.log);
  let { bounds } = settings;
  const backend: HttpBackend = new HttpBackend(
    {
      connectTimeoutMs: connectTimeoutOf(bounds),
      maxConnections: (url) => connectionLimit(front.owner.current, url),
    },
    dialect,
  );
  const front = createFront(settings, () => bounds, backend, log);
  const feed = await serveFeed(front, settings);
  await front.start();
  const maxBodyBytes = (): number =>
    front.owner.current?.config?.limits.bodyBytes ?? settings.bodyMost;
  const passHandler = createPassHandler(front, dialect, maxBodyBytes);
  const pages = createCallerApi(front, settings.bodyMost, passHandler);
  const http = await servePages(settings.http, () => readinessOf(front), pages);
  const listeners = await openListeners(front, passHandler);
  log.info(`Serving callers at ${settings.http}.`);
  return {
    reload: (next) => {
      ({ bounds } = next);
    },
    stop: async () => {
      const callers = [http, ...listeners.callers];
      await front.stop(callers);
      const servers = [...callers, ...listeners.watchers];
      await Promise.all(servers.map((server) => server.closeWithin(lastAnswersMs)));
      await feed.close();
      await backend.close();
    },
  };
};
