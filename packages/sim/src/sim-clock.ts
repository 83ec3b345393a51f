import type { TimerHandle, Clock } from '@tillerstair/wire';

interface Timer {
  readonly at: number;
  readonly seq: number;
  readonly run: () => void;
  stopped: boolean;
}

const before = (a: Timer, b: Timer): boolean => a.at < b.at || (a.at === b.at && a.seq < b.seq);

class Heap {
  private readonly rows: Timer[] = [];

  get first(): Timer | undefined {
    return this.rows[0];
  }

  push(t: Timer): void {
    const rows = this.rows;
    let i = rows.push(t) - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      const parent = rows[up];
      if (!parent || !before(t, parent)) break;
      rows[i] = parent;
      i = up;
    }
    rows[i] = t;
  }

  pop(): Timer | undefined {
    const rows = this.rows;
    const top = rows[0];
    const last = rows.pop();
    if (!top || !last || rows.length === 0) return top;
    let i = 0;
    for (;;) {
      const l = 2 * i + 1;
      const left = rows[l];
      if (!left) break;
      const right = rows[l + 1];
      const [c, child] = right && before(right, left) ? [l + 1, right] : [l, left];
      if (!before(child, last)) break;
      rows[i] = child;
      i = c;
    }
    rows[i] = last;
    return top;
  }
}

const turn = (): Promise<void> => new Promise((done) => setImmediate(done));

export class SimClock implements Clock {
  private time = 1000;
  private seq = 0;
  private readonly heap = new Heap();
  events = 0;

  now(): number {
    return this.time;
  }

  after(ms: number, run: () => void): TimerHandle {
    const t: Timer = { at: this.time + Math.max(0, ms), seq: ++this.seq, run, stopped: false };
    this.heap.push(t);
    return {
      stop: () => {
        t.stopped = true;
      },
    };
  }

  async runReadyTasks(): Promise<void> {
    for (let i = 0; i < 4; i++) await turn();
  }

  async step(limit: number): Promise<boolean> {
    const t = this.heap.first;
    if (!t || t.at > limit) return false;
    this.heap.pop();
    if (t.stopped) return true;
    this.time = Math.max(this.time, t.at);
    this.events++;
    t.run();
    await this.runReadyTasks();
    return true;
  }

  async run(ms: number): Promise<void> {
    const end = this.time + ms;
    await this.runReadyTasks();
    while (await this.step(end));
    this.time = end;
  }

  async until(what: string, ready: () => boolean, within: number): Promise<number> {
    const t0 = this.time;
    await this.runReadyTasks();
    while (!ready()) {
      if (this.time - t0 > within)
        throw new Error(`${what}: not within ${within} ms of simulated time`);
      if (!(await this.step(t0 + within + 1)))
        throw new Error(`${what}: not within ${within} ms of simulated time`);
    }
    return this.time - t0;
  }

  async finish<T>(what: string, work: Promise<T>, within: number): Promise<T> {
    let over = false;
    let failed: unknown;
    let value: T[] = [];
    work.then(
      (v) => {
        value = [v];
        over = true;
      },
      (e: unknown) => {
        failed = e;
        over = true;
      },
    );
    await this.until(what, () => over, within);
    if (failed !== undefined) throw failed;
    for (const v of value) return v;
    throw new Error(`${what}: no value`);
  }
}

export class Incarnation {
  constructor(readonly rate = 1) {}

  dead = false;
  frozen = false;
  private stash: (() => void)[] = [];

  do(run: () => void): void {
    if (this.dead) return;
    if (this.frozen) this.stash.push(run);
    else run();
  }

  wake(): void {
    this.frozen = false;
    const all = this.stash;
    this.stash = [];
    for (const run of all) run();
  }

  clock(base: Clock): Clock {
    return {
      now: () => base.now() * this.rate,
      after: (ms, run) => {
        let stopped = false;
        const timer = base.after(ms / this.rate, () => {
          this.do(() => {
            if (!stopped) run();
          });
        });
        return {
          stop: () => {
            stopped = true;
            timer.stop();
          },
        };
      },
    };
  }
}
