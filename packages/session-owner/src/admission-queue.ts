/**
 * Requests that wait for a server, in two classes: urgent and ordinary. It owns who waits and in which order. Invariants:
 * waiting is bounded in number and time (docs/design.md, "A turn"), nobody who comes later overtakes a request of the
 * same class that could be placed too, and urgent requests do not starve the ordinary ones.
 */
import { AdmissionError, RequestCancelledError, toRpcError, type Clock } from '@tillerstair/wire';
import { AdmissionRate } from './admission-rate.js';

/** After so many urgent requests an ordinary one is admitted. */
const urgentPerOrdinary = 4;
/** A request is queued if the estimated wait is at most this share of its time. */
const maxWaitShare = 0.8;

/** A request for admission. */
export interface AdmissionRequest<T> {
  readonly isUrgent: boolean;
  /** It waits so long at most, in ms. */
  readonly timeoutMs: number;
  /** Aborts when its caller has gone. */
  readonly signal: AbortSignal;
  /** Reserves what the request waits for; undefined if there is none now. An error ends the request. */
  readonly pick: () => T | undefined;
}

interface Waiter<T> {
  readonly deadline: number;
  readonly pick: () => T | undefined;
  resolve(picked: T): void;
  reject(error: Error): void;
}

interface WaiterQueue<T> {
  readonly waiters: Set<Waiter<T>>;
  readonly rate: AdmissionRate;
}

/** The queue before a group of servers. */
export class AdmissionQueue<T> {
  private readonly urgent: WaiterQueue<T>;
  private readonly ordinary: WaiterQueue<T>;
  private urgentInARow = 0;

  /** @param maxWaiting - how many requests of each class may wait; read anew for each request */
  constructor(
    private readonly clock: Clock,
    private readonly maxWaiting: () => number,
  ) {
    this.urgent = { waiters: new Set(), rate: new AdmissionRate(clock) };
    this.ordinary = { waiters: new Set(), rate: new AdmissionRate(clock) };
  }

  /** The number of requests that wait. */
  get waiting(): number {
    return this.urgent.waiters.size + this.ordinary.waiters.size;
  }

  /**
   * Resolves with what was picked. Rejects with an `AdmissionError`: `queue-full`, or `queue-timeout` when the wait is or
   * would be too long; with a `RequestCancelledError` when the caller has gone; with the error of `pick`.
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

  /** Rejects the requests whose turn cannot come in time any more, but never the first of a class. */
  rejectOverdue(): void {
    const now = this.clock.now();
    for (const { waiters, rate } of [this.urgent, this.ordinary]) {
      let position = 0;
      for (const waiter of waiters) {
        const waitMs = rate.estimateWaitMs(position);
        if (position > 0 && now + waitMs > waiter.deadline)
          waiter.reject(
            new AdmissionError('queue-timeout', 'no server will be free in time', 'no', waitMs),
          );
        else position++;
      }
    }
  }

  /** Admits requests as long as one of them can pick; to be called when a server may have become free. */
  admitWaiting(): void {
    while (this.admitNext());
  }

  private refusalOf(
    request: AdmissionRequest<T>,
    { waiters, rate }: WaiterQueue<T>,
  ): AdmissionError | undefined {
    const waitMs = rate.estimateWaitMs(waiters.size);
    if (waiters.size >= this.maxWaiting())
      return new AdmissionError('queue-full', 'the queue is full', 'no', waitMs);
    if (waiters.size > 0 && waitMs > request.timeoutMs * maxWaitShare)
      return new AdmissionError(
        'queue-timeout',
        'the queue is too long for the time that the request has',
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
        waiter.reject(new AdmissionError('queue-timeout', 'no server became free in time'));
      });
      const leave = () => {
        waiters.delete(waiter);
        timer.stop();
        signal.removeEventListener('abort', onAbort);
      };
      const waiter: Waiter<T> = {
        deadline: this.clock.now() + timeoutMs,
        pick,
        resolve: (picked) => {
          leave();
          resolve(picked);
        },
        reject: (error) => {
          leave();
          reject(error);
        },
      };
      signal.addEventListener('abort', onAbort, { once: true });
      waiters.add(waiter);
      this.admitWaiting();
    });
  }

  /** Admits the first request that can pick; false if none can. */
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

  private pickOrReject(waiter: Waiter<T>): T | undefined {
    try {
      return waiter.pick();
    } catch (error) {
      waiter.reject(toRpcError(error));
      return undefined;
    }
  }
}
