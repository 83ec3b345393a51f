/**
 * A state on its way to the members, in the forms in which it is sent: the diff to the state before it, or in full,
 * compressed (docs/zen.md, "Kept, on the ordinary path").
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

/** One state to be sent; each form is made once, whatever the number of members. */
export class Publication {
  /** The change from `base`, for members that hold that; none when there is no base to start from. */
  readonly diff: string | undefined;
  private fullPayload: string | undefined;

  constructor(
    readonly state: State,
    base: State | undefined,
  ) {
    this.diff = base && compressPayload({ diff: diffStates(base, state) });
  }

  /** The whole state. */
  get full(): string {
    this.fullPayload ??= compressPayload({ full: [...encodeState(this.state)] });
    return this.fullPayload;
  }

  get version(): StateVersion {
    return versionOf(this.state);
  }
}
