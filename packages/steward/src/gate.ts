import { Mishap, mishapOf, type Clock } from '@tillerstair/wire';

interface Waiter<T> {
  readonly pick: () => T | undefined;
  done(v: T): void;
  fail(e: Error): void;
}

const urgentsPerOrdinary = 4;

export class Gate<T> {
  private readonly urgent = new Set<Waiter<T>>();
  private readonly ordinary = new Set<Waiter<T>>();
  private run = 0;

  constructor(
    private readonly clock: Clock,
    private readonly most: () => number,
  ) {}

  get waiting(): number {
    return this.urgent.size + this.ordinary.size;
  }

  enter(urgent: boolean, within: number, gone: AbortSignal, pick: () => T | undefined): Promise<T> {
    if (this.waiting === 0) {
      try {
        const now = pick();
        if (now !== undefined) return Promise.resolve(now);
      } catch (e) {
        return Promise.reject(mishapOf(e));
      }
    }
    const line = urgent ? this.urgent : this.ordinary;
    if (line.size >= this.most()) return Promise.reject(new Mishap('line-full', 'the line is full'));
    return new Promise<T>((done, fail) => {
      const leave = () => {
        line.delete(w);
        beat.stop();
        gone.removeEventListener('abort', onGone);
      };
      const w: Waiter<T> = {
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
      const onGone = () => w.fail(new Mishap('gone', 'the caller is gone'));
      const beat = this.clock.after(within, () => w.fail(new Mishap('line-late', 'no server came free in time')));
      gone.addEventListener('abort', onGone, { once: true });
      line.add(w);
      this.pump();
    });
  }

  private tryPick(w: Waiter<T>): T | undefined {
    try {
      return w.pick();
    } catch (e) {
      w.fail(mishapOf(e));
      return undefined;
    }
  }

  pump(): void {
    for (;;) {
      const first = this.run < urgentsPerOrdinary ? [this.urgent, this.ordinary] : [this.ordinary, this.urgent];
      let moved = false;
      for (const line of first) {
        for (const w of line) {
          const v = this.tryPick(w);
          if (v === undefined) continue;
          this.run = line === this.urgent ? this.run + 1 : 0;
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
