/** Connection pools for servers: pool size, idle timeouts, and which connection errors make a response incomplete. */
import type { Socket } from 'node:net';
import { Agent, buildConnector, Pool } from 'undici';

/** Limits of connections to servers. */
export interface ConnectionLimits {
  /** Timeout for opening a connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Maximum number of connections that this front may open to the server at `url`. */
  readonly maxConnections: (url: string) => number;
}

/**
 * Idle connections are closed this much earlier than a server's `Keep-Alive` states, which counts whole seconds: that
 * time is rounded down by less than a second and starts at the server's last byte, which arrives half a round trip
 * later.
 */
const keepAliveThresholdMs = 500;
/** Upper limit of the idle time, since a server may drop an idle connection earlier than it states. */
const maxIdleMs = 4000;
/** Idle time for servers that send no `Keep-Alive`; they keep connections for less than a second. */
const defaultIdleMs = 500;

/**
 * Makes a connection reset fail the response. The HTTP client would treat a reset after the headers of a response
 * without length as the end of its body; with a socket error code it counts as a failed connection. Requests that are
 * queued but not written continue on a new connection.
 */
const failOnReset = (socket: Socket): void => {
  socket.on('error', (error) => Object.assign(error, { code: 'UND_ERR_SOCKET' }));
};

/** Creates the HTTP client for servers: no pipelining, and no idle connection is kept longer than its server states. */
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
