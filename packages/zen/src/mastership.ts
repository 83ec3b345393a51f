/**
 * One mastership: the term in which this control was elected, and its end. It owns the signal that stops everything
 * running on behalf of the master. Invariant: a mastership that has ended never begins again; the next election creates
 * another one (docs/zen.md, "One master a term").
 */
import { createAbortController, type Logger } from '@tillerstair/wire';

/** The period from an election that this control won until it steps down. */
export class Mastership {
  private readonly ended = createAbortController();
  private readonly endListeners: (() => void)[] = [];

  constructor(
    /** The term that a majority of the voters granted to this control. */
    readonly term: number,
    private readonly log: Logger,
  ) {}

  /** Aborts once this control has stepped down. */
  get lost(): AbortSignal {
    return this.ended.signal;
  }

  /** Runs `listener` when this control steps down, after the listeners of `lost`. */
  onEnd(listener: () => void): void {
    this.endListeners.push(listener);
  }

  /** Ends this mastership and logs the reason; does nothing if it has already ended. */
  stepDown(reason: string): void {
    if (this.lost.aborted) return;
    this.log.warn(`Stepping down in term ${this.term}: ${reason}.`);
    this.ended.abort();
    for (const listener of this.endListeners) listener();
  }
}
