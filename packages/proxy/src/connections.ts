import type { Socket } from 'node:net';
import { Agent, buildConnector, Pool } from 'undici';

export interface BackendBounds {
  readonly connectWithin: number;
  /** Connections this front may open to one server. */
  readonly connections: (url: string) => number;
}

/**
 * Idle connections end this much before the time that a server's `Keep-Alive` gives, in whole seconds: the time is
 * rounded down by less than a second and runs from the server's last byte, which was here half a round trip later.
 */
const idleMargin = 500;
/** A server may forget an idle connection sooner than it says; none rests for longer than this. */
const idleMost = 4000;
/** Without `Keep-Alive` a server gives less than a second. */
const idleUnsaid = 500;

/**
 * A reset after the head of an answer without length must not pass for its end, as the HTTP client would have it; told
 * as a failed connection it fails the answer. Requests that are queued and not yet written go on over a new connection.
 */
const failOnReset = (socket: Socket): void => {
  socket.on('error', (error) => Object.assign(error, { code: 'UND_ERR_SOCKET' }));
};

/** Connections to servers: one request at a time on each, none kept beyond its server's word. */
export const connectionsTo = (bounds: BackendBounds): Agent => {
  const open = buildConnector({ timeout: bounds.connectWithin });
  const connect: buildConnector.connector = (options, callback) =>
    open(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null);
      failOnReset(socket);
      callback(null, socket);
    });
  return new Agent({
    connect,
    pipelining: 1,
    keepAliveTimeout: idleUnsaid,
    keepAliveTimeoutThreshold: idleMargin,
    keepAliveMaxTimeout: idleMost,
    factory: (origin, options) =>
      new Pool(origin, { ...options, connections: bounds.connections(String(origin)) }),
  });
};
