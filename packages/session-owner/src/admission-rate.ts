/** The rate at which a queue admits requests, by which the time to wait in it is estimated. */
import type { Clock } from '@tillerstair/wire';

/** The weight of the newest interval in the moving average. */
const smoothingFactor = 0.1;

/** A moving average of the time between two admissions. */
export class AdmissionRate {
  private intervalMs = 0;
  private admittedAt: number;

  constructor(private readonly clock: Clock) {
    this.admittedAt = clock.now();
  }

  /** The queue was empty until now: nobody waited in the time before. */
  restart(): void {
    this.admittedAt = this.clock.now();
  }

  /** A request was admitted. */
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
   * The time in ms that a request is likely to wait behind `ahead` others. A standstill counts: it takes no less than
   * the time since the last admission.
   */
  estimateWaitMs(ahead: number): number {
    const sinceLastMs = this.clock.now() - this.admittedAt;
    return ahead * this.intervalMs + Math.max(this.intervalMs, sinceLastMs);
  }
}
