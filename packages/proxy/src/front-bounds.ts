/**
 * The time limits of a front, derived from its settings. On SIGHUP the heartbeat, the time of a write and the read lease
 * follow the bounds that were read again; `pollIntervalMs`, the time to connect, `stopWithin` and `retentionMs` stay as they were
 * at the start.
 */
import type { SessionOwnerBounds } from '@tillerstair/session-owner';
import type { ProxySettings } from '@tillerstair/settings';
import { toTimerMs } from '@tillerstair/wire';

/** A replica has this share of the failure timeout for a write. */
const putShare = 1 / 2;
/** A connection to a server has this share of a heartbeat to open. */
const connectShare = 1 / 2;
/** Servers are asked for their load so many times a heartbeat, where they are asked at all. */
const pollsPerHeartbeat = 4;

/** `docs/zen.md`, "Free values": the read lease is 5/6 of the bound of draining servers. */
const readLeaseMs = (drainingWithin: number): number => toTimerMs((drainingWithin * 5) / 6);

/** How long a connection to a server may take to open, in ms. */
export const connectTimeoutOf = (bounds: ProxySettings['bounds']): number =>
  toTimerMs(bounds.heartbeatInterval * connectShare);

/** Time limits of a front, in ms. `inForce` gives the bounds of the settings as they were read last. */
export const createFrontBounds = (
  settings: ProxySettings,
  inForce: () => ProxySettings['bounds'],
): SessionOwnerBounds => ({
  get heartbeatInterval() {
    return inForce().heartbeatInterval;
  },
  get putTimeoutMs() {
    return toTimerMs(inForce().failureTimeout * putShare);
  },
  get readLease() {
    return readLeaseMs(inForce().drainingWithin);
  },
  pollIntervalMs: settings.asksServers
    ? toTimerMs(settings.bounds.heartbeatInterval / pollsPerHeartbeat)
    : 0,
  retentionMs: settings.retentionMs,
  stopWithin: settings.stopWithin,
});
