/** What may be wrong with a simulated server. */

/** Faults of one server; several may hold at once. */
export interface ServerFaults {
  /** Refuses connections. */
  readonly refuses: boolean;
  /** Reports itself as draining. */
  readonly draining: boolean;
  /** Loses the end of every n-th response; 0 for none. */
  readonly loseEvery: number;
  /** Breaks off every n-th response half way; 0 for none. */
  readonly cutEvery: number;
  /** How many times slower than usual. */
  readonly slow: number;
  /** Says that it did not run what it is sent. */
  readonly declines: boolean;
  /** With a cut: in the middle of an event. */
  readonly cutsInsideEvent: boolean;
  /** Runs, and responds with the id of another attempt. */
  readonly namesOtherAttempt: boolean;
  /** Takes requests and never responds, while its health is good. */
  readonly neverReplies: boolean;
  /** Does not respond to anything any more. */
  readonly unresponsive: boolean;
  /** Resets connections as soon as a request is on them. */
  readonly resets: boolean;
  /** Runs requests and fails them: calls of pass routes with a status of its own, all else without a complete response. */
  readonly fails: boolean;
}

/** A server without faults. */
export const healthyServer: ServerFaults = {
  refuses: false,
  draining: false,
  loseEvery: 0,
  cutEvery: 0,
  slow: 1,
  declines: false,
  cutsInsideEvent: false,
  namesOtherAttempt: false,
  neverReplies: false,
  unresponsive: false,
  resets: false,
  fails: false,
};

/** Whether a fault that strikes every `every`-th request strikes this one. */
export const isEveryNth = (every: number, requestNumber: number): boolean =>
  every > 0 && requestNumber % every === 0;
