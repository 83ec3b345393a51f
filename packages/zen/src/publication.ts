/**
 * A state to be published and its compressed payloads: the diff from the previous state, or the full state
 * (docs/zen.md, "Kept, on the ordinary path").
 */
import { deflateSync } from 'node:zlib';
import {
  diffStates,
  encodeState,
  versionOf,
  type State,
  type StateVersion,
} from '@tillerstair/state';
import type { PublishPayload } from './messages.js';

const compressPayload = (payload: PublishPayload): string =>
  deflateSync(JSON.stringify(payload)).toString('base64');

/** One state to be sent; each payload is encoded once for all members. */
export class Publication {
  /** The compressed diff from `base`, for members that have accepted `base`; undefined without a base. */
  readonly diff: string | undefined;
  private fullPayload: string | undefined;

  constructor(
    readonly state: State,
    base: State | undefined,
  ) {
    this.diff = base && compressPayload({ diff: diffStates(base, state) });
  }

  /** The compressed full state; encoded on first use. */
  get full(): string {
    this.fullPayload ??= compressPayload({ full: [...encodeState(this.state)] });
    return this.fullPayload;
  }

  /** The term and version of the state. */
  get version(): StateVersion {
    return versionOf(this.state);
  }
}
