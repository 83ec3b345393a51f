/**
 * Which services may be sent a keyed operation that may have run already. The servers of a pool with `remembersKeys`
 * share a record of idempotency keys and answer a repeat from it. A pool does not know the keys of another one, so an
 * operation may be repeated only at the pool that it was sent to before.
 */
import type { Config, Route } from '@tillerstair/state';
import { activeShares } from './pool-credit.js';

/** The value of `OpValue.recordedBy` if no pool has the operation in its record of keys. */
export const noPool = '';

/** Whether the servers of a pool record idempotency keys; false for a pool that is not configured. */
const recordsKeys = (config: Config | undefined, poolName: string): boolean =>
  config?.pools.some(({ name, remembersKeys }) => name === poolName && remembersKeys) ?? false;

/** The pool that has an operation in its record of keys once a server of `poolName` runs it; else `noPool`. */
export const recordingPool = (config: Config | undefined, poolName: string): string =>
  recordsKeys(config, poolName) ? poolName : noPool;

/**
 * Whether an operation that may have run may be sent again to the pool that has it in its record of keys. False for
 * `noPool`, for a pool that records no keys any more, and for one to which the route does not lead any more: that pool
 * could run the operation for the first time, which the configuration no longer allows.
 */
export const mayAskAgain = (
  config: Config | undefined,
  route: Route | undefined,
  recordedBy: string,
): boolean =>
  route !== undefined &&
  recordsKeys(config, recordedBy) &&
  activeShares(route).some(({ pool }) => pool === recordedBy);
