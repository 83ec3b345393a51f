/** Connections to servers: how many, how long they rest, and which of their endings make an answer incomplete. */
import type { Socket } from 'node:net';
import { Agent, buildConnector, Pool } from 'undici';

/** Limits of the connections to servers. */
export interface ConnectionLimits {
  /** How long a connection may take to open, in ms. */
  readonly connectTimeoutMs: number;
  /** How many connections this front may open to one server. */
  readonly maxConnections: (url: string) => number;
}

/**
 * Idle connections end this much before the time that a server's `Keep-Alive` gives, in whole seconds: the time is
 * rounded down by less than a second and runs from the server's last byte, which was here half a round trip later.
 */
const keepAliveThresholdMs = 500;
/** A server may forget an idle connection sooner than it says; none rests for longer than this. */
const maxIdleMs = 4000;
/** Without `Keep-Alive` a server gives less than a second. */
const defaultIdleMs = 500;

/**
 * A reset after the head of an answer without length must not pass for its end, as the HTTP client would have it; told
 * as a failed connection it fails the answer. Requests that are queued and not yet written go on over a new connection.
 */
const failOnReset = (socket: Socket): void => {
  socket.on('error', (error) => Object.assign(error, { code: 'UND_ERR_SOCKET' }));
};

/** Makes the HTTP client for servers: one request at a time on each connection, none kept for longer than its server says. */
export const createServerAgent = (limits: ConnectionLimits): Agent => {
  const open = buildConnector({ timeout: limits.connectTimeoutMs });
  const connect: buildConnector.connector = (options, callback) => {
    open(options, (...[error, socket]) => {
      if (error !== null) {
        callback(error, null);
        return;
      }
      failOnReset(socket);
      callback(null, socket);
    });
  };
  return new Agent({
    connect,
    pipelining: 1,
    keepAliveTimeout: defaultIdleMs,
    keepAliveTimeoutThreshold: keepAliveThresholdMs,
    keepAliveMaxTimeout: maxIdleMs,
    factory: (origin, options: Pool.Options) =>
      new Pool(origin, { ...options, connections: limits.maxConnections(String(origin)) }),
  });
};
