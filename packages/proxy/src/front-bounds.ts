/**
 * Time limits of a front, derived from its settings. On SIGHUP the heartbeat, the write timeout and the read lease
 * follow the reloaded bounds; `pollIntervalMs`, the connect timeout, `stopWithin` and `retentionMs` keep their values
 * from the start.
 */
import type { SessionOwnerBounds } from '@tillerstair/session-owner';
import type { ProxySettings } from '@tillerstair/settings';
import { toTimerMs } from '@tillerstair/wire';

/** Timeout of a write at a replica, as a share of the failure timeout. */
const putShare = 1 / 2;
/** Connect timeout for servers, as a share of a heartbeat. */
const connectShare = 1 / 2;
/** Polls of a server's load per heartbeat, if `asksServers` enables polling. */
const pollsPerHeartbeat = 4;

/** Read lease in ms: 5/6 of the bound `drainingWithin` on draining servers (`docs/zen.md`, "Free values"). */
const readLeaseMs = (drainingWithin: number): number => toTimerMs((drainingWithin * 5) / 6);

/** Timeout for opening a connection to a server, in ms. */
export const connectTimeoutOf = (bounds: ProxySettings['bounds']): number =>
  toTimerMs(bounds.heartbeatInterval * connectShare);

/** Time limits of a front, in ms. `currentBounds` returns the bounds of the most recently loaded settings. */
export const createFrontBounds = (
  settings: ProxySettings,
  currentBounds: () => ProxySettings['bounds'],
): SessionOwnerBounds => ({
  get heartbeatInterval() {
    return currentBounds().heartbeatInterval;
  },
  get putTimeoutMs() {
    return toTimerMs(currentBounds().failureTimeout * putShare);
  },
  get readLease() {
    return readLeaseMs(currentBounds().drainingWithin);
  },
  pollIntervalMs: settings.asksServers
    ? toTimerMs(settings.bounds.heartbeatInterval / pollsPerHeartbeat)
    : 0,
  retentionMs: settings.retentionMs,
  minRetentionMs: settings.requiredRetentionMs,
  stopWithin: settings.stopWithin,
});
