/**
 * A request to as many replicas as a quorum needs, and to further replicas only when a request fails or its response is
 * late (hedged requests). It keeps no state beyond one request.
 */
import { delay, type Clock } from './clock.js';

/** One request to several replicas that ends once a quorum of them has responded. */
export interface QuorumRequest<Response> {
  readonly clock: Clock;
  /** The replicas that may be asked, in order of preference. */
  readonly replicas: readonly string[];
  /** Number of responses that ends the request. */
  readonly quorum: number;
  /** Interval at which one more replica is asked while there is no quorum, in ms. */
  readonly hedgeAfterMs: number;
  /** Sends the request to one replica; a rejection counts as no response. */
  readonly send: (replica: string) => Promise<Response>;
}

/** One run of a `QuorumRequest`. */
class QuorumRequestRun<Response> {
  private readonly responses = new Map<string, Response>();
  private readonly ended = new AbortController();
  private sent = 0;
  private pending = 0;

  constructor(
    private readonly request: QuorumRequest<Response>,
    private readonly resolve: (responses: ReadonlyMap<string, Response>) => void,
  ) {}

  start(): void {
    const { quorum, replicas } = this.request;
    while (this.sent < Math.min(quorum, replicas.length)) this.sendNext();
    if (this.pending === 0) this.endIfDecided();
    void this.hedge();
  }

  private hasEnded(): boolean {
    return this.ended.signal.aborted;
  }

  private endIfDecided(): void {
    if (this.responses.size < this.request.quorum && this.pending > 0) return;
    this.ended.abort();
    this.resolve(this.responses);
  }

  private sendNext(): void {
    const replica = this.request.replicas.at(this.sent++);
    if (replica === undefined) return;
    this.pending++;
    void this.request
      .send(replica)
      .then(
        (response) => {
          if (!this.hasEnded()) this.responses.set(replica, response);
        },
        () => {
          if (!this.hasEnded()) this.sendNext();
        },
      )
      .finally(() => {
        this.pending--;
        this.endIfDecided();
      });
  }

  private async hedge(): Promise<void> {
    const { clock, hedgeAfterMs, replicas } = this.request;
    while (this.sent < replicas.length) {
      await delay(clock, hedgeAfterMs, this.ended.signal);
      if (this.hasEnded()) return;
      this.sendNext();
    }
  }
}

/**
 * Resolves with the responses so far, by replica, once a quorum has responded or every replica was asked and none is
 * pending. It never rejects, and may resolve with fewer responses than a quorum: the caller has to compare.
 */
export const requestQuorum = <Response>(
  request: QuorumRequest<Response>,
): Promise<ReadonlyMap<string, Response>> =>
  new Promise((resolve) => {
    new QuorumRequestRun(request, resolve).start();
  });
