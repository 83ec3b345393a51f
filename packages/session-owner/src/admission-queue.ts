import { AdmissionError, type Clock, RequestCancelledError, toRpcError } from '@tillerstair/wire';

interface Waiter<T> {
  readonly until: number;
  readonly pick: () => T | undefined;
  done(v: T): void;
  fail(e: Error): void;
}

interface Pace {
  readonly gap: number;
  readonly movedAt: number;
}

const urgentsPerOrdinary = 4;
const smoothing = 0.1;
const admitted = 0.8;

export class AdmissionQueue<T> {
  private readonly urgent = new Set<Waiter<T>>();
  private readonly ordinary = new Set<Waiter<T>>();
  private readonly paces = new Map<ReadonlySet<Waiter<T>>, Pace>();
  private run = 0;

  constructor(
    private readonly clock: Clock,
    private readonly most: () => number,
  ) {}

  get waiting(): number {
    return this.urgent.size + this.ordinary.size;
  }

  private waitOf(queue: ReadonlySet<Waiter<T>>, place: number): number {
    const p = this.paces.get(queue);
    return p ? place * p.gap + Math.max(p.gap, this.clock.now() - p.movedAt) : 0;
  }

  enter(urgent: boolean, within: number, gone: AbortSignal, pick: () => T | undefined): Promise<T> {
    if (this.waiting === 0) {
      try {
        const now = pick();
        if (now !== undefined) return Promise.resolve(now);
      } catch (e) {
        return Promise.reject(toRpcError(e));
      }
    }
    const queue = urgent ? this.urgent : this.ordinary;
    if (queue.size === 0)
      this.paces.set(queue, { gap: this.paces.get(queue)?.gap ?? 0, movedAt: this.clock.now() });
    const wait = this.waitOf(queue, queue.size);
    if (queue.size >= this.most())
      return Promise.reject(new AdmissionError('queue-full', 'the line is full', 'no', wait));
    if (queue.size > 0 && wait > within * admitted)
      return Promise.reject(
        new AdmissionError(
          'queue-timeout',
          'the line is too long for the time there is',
          'no',
          wait,
        ),
      );
    return new Promise<T>((done, fail) => {
      const leave = () => {
        queue.delete(w);
        timer.stop();
        gone.removeEventListener('abort', onGone);
      };
      const w: Waiter<T> = {
        until: this.clock.now() + within,
        pick,
        done: (v) => {
          leave();
          done(v);
        },
        fail: (e) => {
          leave();
          fail(e);
        },
      };
      const onGone = () => w.fail(new RequestCancelledError('no'));
      const timer = this.clock.after(within, () =>
        w.fail(new AdmissionError('queue-timeout', 'no server came free in time')),
      );
      gone.addEventListener('abort', onGone, { once: true });
      queue.add(w);
      this.pump();
    });
  }

  private tryPick(w: Waiter<T>): T | undefined {
    try {
      return w.pick();
    } catch (e) {
      w.fail(toRpcError(e));
      return undefined;
    }
  }

  private moved(queue: ReadonlySet<Waiter<T>>): void {
    const now = this.clock.now();
    const { gap, movedAt } = this.paces.get(queue) ?? { gap: 0, movedAt: now };
    this.paces.set(queue, {
      gap: gap === 0 ? now - movedAt : gap + (now - movedAt - gap) * smoothing,
      movedAt: now,
    });
  }

  review(): void {
    const now = this.clock.now();
    for (const queue of [this.urgent, this.ordinary]) {
      let place = 0;
      for (const w of queue) {
        const wait = this.waitOf(queue, place);
        if (place > 0 && now + wait > w.until)
          w.fail(
            new AdmissionError('queue-timeout', 'no server will come free in time', 'no', wait),
          );
        else place++;
      }
    }
  }

  pump(): void {
    for (;;) {
      const first =
        this.run < urgentsPerOrdinary ? [this.urgent, this.ordinary] : [this.ordinary, this.urgent];
      let moved = false;
      for (const queue of first) {
        for (const w of queue) {
          const v = this.tryPick(w);
          if (v === undefined) continue;
          this.run = queue === this.urgent ? this.run + 1 : 0;
          this.moved(queue);
          w.done(v);
          moved = true;
          break;
        }
        if (moved) break;
      }
      if (!moved) return;
    }
  }
}
