/** Cuts between the processes of a fleet. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { parseAddress } from '@tillerstair/wire';

interface Pair {
  readonly from: string;
  readonly to: string;
  readonly near: Socket;
  readonly far: Socket;
}

/** Carries connections between advertised and real addresses, and cuts pairs on demand. */
export class Relay {
  private readonly servers: Server[] = [];
  private readonly pairs = new Set<Pair>();
  private readonly cuts = new Set<string>();

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`) || this.cuts.has(`${from}>*`) || this.cuts.has(`*>${to}`);
  }

  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  cutBoth(a: string, b: string): void {
    this.cut(a, b);
    this.cut(b, a);
  }

  removeCuts(): void {
    this.cuts.clear();
    for (const p of this.pairs) {
      p.near.destroy();
      p.far.destroy();
    }
  }

  serve(advertised: string, listen: string): Promise<void> {
    const server = createServer((near) => this.carry(near, advertised, listen));
    this.servers.push(server);
    const { host, port } = parseAddress(advertised);
    return new Promise((done, fail) => {
      server.once('error', fail);
      server.listen(port, host, () => done());
    });
  }

  private carry(near: Socket, to: string, listen: string): void {
    let head = Buffer.alloc(0);
    near.setNoDelay(true);
    near.on('error', () => near.destroy());
    const onHead = (part: Buffer): void => {
      head = Buffer.concat([head, part]);
      const nl = head.indexOf(10);
      if (nl < 0) return;
      near.off('data', onHead);
      const hello: unknown = JSON.parse(head.toString('utf8', 0, nl));
      const from =
        hello !== null && typeof hello === 'object' && 'hello' in hello ? String(hello.hello) : '';
      const far = connect(parseAddress(listen));
      far.setNoDelay(true);
      const pair: Pair = { from, to, near, far };
      this.pairs.add(pair);
      const over = (): void => {
        this.pairs.delete(pair);
        near.destroy();
        far.destroy();
      };
      far.on('error', over);
      far.on('close', over);
      near.on('close', over);
      far.write(head);
      near.on('data', (b) => {
        if (!this.isCut(from, to)) far.write(b);
      });
      far.on('data', (b) => {
        if (!this.isCut(from, to) && !this.isCut(to, from)) near.write(b);
      });
    };
    near.on('data', onHead);
  }

  async close(): Promise<void> {
    this.removeCuts();
    await Promise.all(this.servers.map((s) => new Promise<void>((done) => s.close(() => done()))));
  }
}
