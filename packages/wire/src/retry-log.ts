/** Logs the failures of work that is retried until it succeeds. */
import type { Clock } from './clock.js';
import type { Logger } from './log.js';

const msPerSecond = 1000;

/**
 * Logs each failure of one piece of work at level debug, and as a warning once the work has failed for `warnAfterMs`, at
 * most once in that time.
 */
export class RetryLog {
  private readonly startedAt: number;
  private lastWarningAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly warnAfterMs: number,
  ) {
    this.startedAt = clock.now();
    this.lastWarningAt = this.startedAt;
  }

  /** Logs a failure; `text` says what failed and why, without a full stop. */
  failed(text: string): void {
    const now = this.clock.now();
    if (now - this.lastWarningAt < this.warnAfterMs) {
      this.log.debug(`${text}.`);
      return;
    }
    this.lastWarningAt = now;
    const seconds = ((now - this.startedAt) / msPerSecond).toFixed(1);
    this.log.warn(`${text}, retried for ${seconds} s.`);
  }
}
