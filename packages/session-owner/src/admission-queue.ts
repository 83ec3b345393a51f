/**
 * Queue of the requests that wait for a server, in two classes: urgent and ordinary. It owns the set of waiting
 * requests and their order. Invariants: the number of waiting requests and their waiting time are bounded
 * (docs/design.md, "A turn"); a request never overtakes an earlier one of its class that could be placed as well; and
 * urgent requests do not starve ordinary ones.
 */
import { AdmissionError, RequestCancelledError, toRpcError, type Clock } from '@tillerstair/wire';
import { AdmissionRate } from './admission-rate.js';

/** Number of consecutive urgent requests after which an ordinary one is admitted. */
const urgentPerOrdinary = 4;
/** A request is queued only if its estimated wait is at most this share of its timeout. */
const maxWaitShare = 0.8;

/** A request for admission. */
export interface AdmissionRequest<T> {
  readonly isUrgent: boolean;
  /** Maximum waiting time, in ms. */
  readonly timeoutMs: number;
  /** Aborted when the caller disconnects; the request then leaves the queue. */
  readonly signal: AbortSignal;
  /** Reserves a server for the request; undefined if none is free. An error rejects the request. */
  readonly pick: () => T | undefined;
}

interface Waiter<T> {
  /** On the queue's clock, in ms. */
  readonly deadline: number;
  readonly pick: () => T | undefined;
  resolve(picked: T): void;
  reject(error: Error): void;
}

interface WaiterQueue<T> {
  readonly waiters: Set<Waiter<T>>;
  readonly rate: AdmissionRate;
}

/** The admission queue of a group of servers. */
export class AdmissionQueue<T> {
  private readonly urgent: WaiterQueue<T>;
  private readonly ordinary: WaiterQueue<T>;
  private urgentInARow = 0;

  /** @param maxWaiting - maximum number of waiting requests of each class; read again for each request */
  constructor(
    private readonly clock: Clock,
    private readonly maxWaiting: () => number,
  ) {
    this.urgent = { waiters: new Set(), rate: new AdmissionRate(clock) };
    this.ordinary = { waiters: new Set(), rate: new AdmissionRate(clock) };
  }

  /** The number of waiting requests of both classes. */
  get waiting(): number {
    return this.urgent.waiters.size + this.ordinary.waiters.size;
  }

  /**
   * Resolves with the result of `pick`. Rejects with an `AdmissionError`: `queue-full`, or `queue-timeout` when the
   * wait exceeds, or is expected to exceed, the timeout; with a `RequestCancelledError` when the caller disconnects; or
   * with the error that `pick` threw.
   */
  enter(request: AdmissionRequest<T>): Promise<T> {
    if (this.waiting === 0) {
      try {
        const picked = request.pick();
        if (picked !== undefined) return Promise.resolve(picked);
      } catch (error) {
        return Promise.reject(toRpcError(error));
      }
    }
    const queue = request.isUrgent ? this.urgent : this.ordinary;
    if (queue.waiters.size === 0) queue.rate.restart();
    const refusal = this.refusalOf(request, queue);
    return refusal ? Promise.reject(refusal) : this.wait(request, queue);
  }

  /** Rejects the requests that are expected to miss their deadline, but never the first of a class. */
  rejectOverdue(): void {
    const now = this.clock.now();
    for (const { waiters, rate } of [this.urgent, this.ordinary]) {
      let position = 0;
      for (const waiter of waiters) {
        const waitMs = rate.estimateWaitMs(position);
        if (position > 0 && now + waitMs > waiter.deadline)
          waiter.reject(
            new AdmissionError(
              'queue-timeout',
              'no server is expected to become free before the deadline',
              'no',
              waitMs,
            ),
          );
        else position++;
      }
    }
  }

  /** Admits requests until none of them can pick a server; to be called when a server may have become free. */
  admitWaiting(): void {
    while (this.admitNext());
  }

  private refusalOf(
    request: AdmissionRequest<T>,
    { waiters, rate }: WaiterQueue<T>,
  ): AdmissionError | undefined {
    const waitMs = rate.estimateWaitMs(waiters.size);
    if (waiters.size >= this.maxWaiting())
      return new AdmissionError(
        'queue-full',
        `the admission queue is full: ${waiters.size} requests are waiting`,
        'no',
        waitMs,
      );
    if (waiters.size > 0 && waitMs > request.timeoutMs * maxWaitShare)
      return new AdmissionError(
        'queue-timeout',
        'the estimated wait in the admission queue is too long for the time left to the request',
        'no',
        waitMs,
      );
    return undefined;
  }

  private wait(
    { timeoutMs, signal, pick }: AdmissionRequest<T>,
    { waiters }: WaiterQueue<T>,
  ): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const onAbort = () => {
        waiter.reject(new RequestCancelledError('no'));
      };
      const timer = this.clock.after(timeoutMs, () => {
        waiter.reject(
          new AdmissionError(
            'queue-timeout',
            `no server became free within ${Math.round(timeoutMs)} ms`,
          ),
        );
      });
      const removeWaiter = () => {
        waiters.delete(waiter);
        timer.stop();
        signal.removeEventListener('abort', onAbort);
      };
      const waiter: Waiter<T> = {
        deadline: this.clock.now() + timeoutMs,
        pick,
        resolve: (picked) => {
          removeWaiter();
          resolve(picked);
        },
        reject: (error) => {
          removeWaiter();
          reject(error);
        },
      };
      signal.addEventListener('abort', onAbort, { once: true });
      waiters.add(waiter);
      this.admitWaiting();
    });
  }

  /** Admits the first request that can pick a server, in the order of classes; false if none can. */
  private admitNext(): boolean {
    const isOrdinaryDue = this.urgentInARow >= urgentPerOrdinary;
    const order = isOrdinaryDue ? [this.ordinary, this.urgent] : [this.urgent, this.ordinary];
    for (const queue of order)
      for (const waiter of queue.waiters) {
        const picked = this.pickOrReject(waiter);
        if (picked === undefined) continue;
        this.urgentInARow = queue === this.urgent ? this.urgentInARow + 1 : 0;
        queue.rate.recordAdmission();
        waiter.resolve(picked);
        return true;
      }
    return false;
  }

  /** Picks a server for a waiting request; an error of `pick` rejects that request alone. */
  private pickOrReject(waiter: Waiter<T>): T | undefined {
    try {
      return waiter.pick();
    } catch (error) {
      waiter.reject(toRpcError(error));
      return undefined;
    }
  }
}
