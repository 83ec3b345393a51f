/** Binds servers to their addresses. */
import type { ListenOptions, Server } from 'node:net';
import { parseAddress } from './address.js';
import { delay, hostClock } from './clock.js';
import { systemErrorCodeOf } from './system-error.js';

/** The previous process of a program, or a connection, may hold a port a little longer; an address may come up late. */
const transientCodes: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);
const retryIntervalMs = 100;
/** Time after which an address that cannot be bound fails the start. */
const bindTimeoutMs = 10_000;

const listenOnce = (server: Server, options: ListenOptions): Promise<void> =>
  new Promise((resolve, reject) => {
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      reject(error);
    };
    const onListening = (): void => {
      server.off('error', onError);
      resolve();
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(options);
  });

/**
 * Makes a server listen at IP:PORT. Retries for 10 s while the address is in use or not available, then rejects with the
 * system error. An error in accepting a connection later, for lack of descriptors or memory, does not end the process.
 */
export const listenAt = async (
  server: Server,
  address: string,
  options: ListenOptions = {},
): Promise<void> => {
  const deadline = hostClock.now() + bindTimeoutMs;
  for (;;) {
    try {
      await listenOnce(server, { ...options, ...parseAddress(address) });
      server.on('error', () => undefined);
      return;
    } catch (error) {
      if (!transientCodes.has(systemErrorCodeOf(error)) || hostClock.now() >= deadline) throw error;
      await delay(hostClock, retryIntervalMs);
    }
  }
};
