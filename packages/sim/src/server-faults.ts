/** Faults of simulated servers. */

/** Faults of one server; several may be set at once. */
export interface ServerFaults {
  /** Refuses connections. */
  readonly refuses: boolean;
  /** Reports itself as draining. */
  readonly draining: boolean;
  /** Loses the end of every n-th response; 0 disables this. */
  readonly loseEvery: number;
  /** With `loseEvery`: the connection stays silent after a lost response on a pass route, instead of ending. */
  readonly losesSilently: boolean;
  /** Breaks off every n-th response half way; 0 disables this. */
  readonly cutEvery: number;
  /** Factor by which execution is slowed down; 1 is normal speed. */
  readonly slow: number;
  /** Declines each request, stating that it has not run it. */
  readonly declines: boolean;
  /** With `cutEvery`: breaks off in the middle of an event. */
  readonly cutsInsideEvent: boolean;
  /** Runs requests, but responds with the id of another attempt. */
  readonly namesOtherAttempt: boolean;
  /** Accepts requests and never responds, while its health check succeeds. */
  readonly neverReplies: boolean;
  /** Responds to nothing, not even to the health check. */
  readonly unresponsive: boolean;
  /** Resets each connection as soon as it carries a request. */
  readonly resets: boolean;
  /** Runs requests and fails them: calls on pass routes with status 500, all others without a complete response. */
  readonly fails: boolean;
}

/** A server without faults. */
export const healthyServer: ServerFaults = {
  refuses: false,
  draining: false,
  loseEvery: 0,
  losesSilently: false,
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

/** Whether a fault that affects every `every`-th request affects the request of this number; never if `every` is 0. */
export const isEveryNth = (every: number, requestNumber: number): boolean =>
  every > 0 && requestNumber % every === 0;
