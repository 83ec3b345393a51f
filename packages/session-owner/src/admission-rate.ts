/** The rate at which an admission queue admits requests, from which the waiting time is estimated. */
import type { Clock } from '@tillerstair/wire';

/** The weight of the newest interval in the moving average. */
const smoothingFactor = 0.1;

/** An exponential moving average of the time between two admissions, in ms. */
export class AdmissionRate {
  private intervalMs = 0;
  private admittedAt: number;

  constructor(private readonly clock: Clock) {
    this.admittedAt = clock.now();
  }

  /** Starts a new interval when a request arrives at an empty queue, so that the idle time before does not count. */
  restart(): void {
    this.admittedAt = this.clock.now();
  }

  /** Records that a request was admitted now. */
  recordAdmission(): void {
    const now = this.clock.now();
    const sinceLastMs = now - this.admittedAt;
    this.intervalMs =
      this.intervalMs === 0
        ? sinceLastMs
        : this.intervalMs + (sinceLastMs - this.intervalMs) * smoothingFactor;
    this.admittedAt = now;
  }

  /**
   * The estimated waiting time, in ms, of a request with `ahead` others before it. It is at least the time since the
   * last admission, so that the estimate grows while nothing is admitted.
   */
  estimateWaitMs(ahead: number): number {
    const sinceLastMs = this.clock.now() - this.admittedAt;
    return ahead * this.intervalMs + Math.max(this.intervalMs, sinceLastMs);
  }
}
