/** Reports the memory of this process in its log each time it reaches a new peak. */
import type { Logger } from '@tillerstair/wire';
import { collectUnderPressure } from './heap-pressure.js';

const checkIntervalMs = 1000;
/** A peak is reported once it exceeds the reported one by this many MB. */
const reportStepMb = 32;
const mb = 1 << 20;

const inMb = (bytes: number): number => Math.round(bytes / mb);

/** The resident memory of a process and its parts, in bytes. */
export interface MemoryUse {
  readonly rss: number;
  readonly heapUsed: number;
  readonly external: number;
}

/** Remembers the highest peak that was logged. */
export class MemoryReport {
  private reportedMb = 0;

  /**
   * @param memoryMb - the limit of the process, if it has one
   * @param readMemory - throws if the system does not tell, for example without a free descriptor
   */
  constructor(
    private readonly log: Logger,
    private readonly memoryMb: number | undefined,
    private readonly readMemory: () => MemoryUse = () => process.memoryUsage(),
  ) {}

  /** Logs the resident memory if it is a new peak. Never throws. */
  check(): void {
    const use = this.read();
    if (!use || inMb(use.rss) < this.reportedMb + reportStepMb) return;
    this.reportedMb = inMb(use.rss);
    const limit = this.memoryMb === undefined ? '' : ` of ${this.memoryMb} MB`;
    this.log.info(
      `Resident memory has reached ${this.reportedMb} MB${limit}: ` +
        `heap ${inMb(use.heapUsed)} MB, buffers ${inMb(use.external)} MB.`,
    );
  }

  private read(): MemoryUse | undefined {
    try {
      return this.readMemory();
    } catch {
      return undefined;
    }
  }
}

/**
 * Keeps the garbage of this process within its limit of memory, and logs each new peak; does not keep the process running.
 */
export const watchMemory = (log: Logger, memoryMb: number | undefined): void => {
  collectUnderPressure(memoryMb);
  const report = new MemoryReport(log, memoryMb);
  report.check();
  setInterval(() => report.check(), checkIntervalMs).unref();
};
