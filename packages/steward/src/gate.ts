import { Mishap, mishapOf, type Clock } from '@tillerstair/wire';

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

export class Gate<T> {
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

  private waitOf(line: ReadonlySet<Waiter<T>>, place: number): number {
    const p = this.paces.get(line);
    return p ? place * p.gap + Math.max(p.gap, this.clock.now() - p.movedAt) : 0;
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
    if (line.size === 0) this.paces.set(line, { gap: this.paces.get(line)?.gap ?? 0, movedAt: this.clock.now() });
    const wait = this.waitOf(line, line.size);
    if (line.size >= this.most()) return Promise.reject(new Mishap('line-full', 'the line is full', 'no', wait));
    if (line.size > 0 && wait > within * admitted) return Promise.reject(new Mishap('line-late', 'the line is too long for the time there is', 'no', wait));
    return new Promise<T>((done, fail) => {
      const leave = () => {
        line.delete(w);
        beat.stop();
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

  private moved(line: ReadonlySet<Waiter<T>>): void {
    const now = this.clock.now();
    const { gap, movedAt } = this.paces.get(line) ?? { gap: 0, movedAt: now };
    this.paces.set(line, { gap: gap === 0 ? now - movedAt : gap + (now - movedAt - gap) * smoothing, movedAt: now });
  }

  review(): void {
    const now = this.clock.now();
    for (const line of [this.urgent, this.ordinary]) {
      let place = 0;
      for (const w of line) {
        const wait = this.waitOf(line, place);
        if (place > 0 && now + wait > w.until) w.fail(new Mishap('line-late', 'no server will come free in time', 'no', wait));
        else place++;
      }
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
          this.moved(line);
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
