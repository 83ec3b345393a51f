/** A TCP relay that simulates network partitions between the processes of a fleet. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { parseAddress } from '@tillerstair/wire';

/** A relayed connection and its two sockets: `near` from the caller, `far` to the process that is called. */
interface RelayedConnection {
  /** The advertised address of the caller, as its hello message gives it. */
  readonly from: string;
  /** The advertised address of the process that is called. */
  readonly to: string;
  readonly near: Socket;
  readonly far: Socket;
}

/** Forwards connections from advertised to real addresses, and drops the traffic between addresses that are cut. */
export class Relay {
  private readonly servers: Server[] = [];
  private readonly connections = new Set<RelayedConnection>();
  /** `from>to` for each cut direction; `*` matches every address. */
  private readonly cuts = new Set<string>();

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`) || this.cuts.has(`${from}>*`) || this.cuts.has(`*>${to}`);
  }

  /** Drops all data that `from` sends to `to`. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Drops all data between two addresses, in both directions. */
  cutBoth(a: string, b: string): void {
    this.cut(a, b);
    this.cut(b, a);
  }

  /** Ends all cuts and closes every relayed connection, so that callers connect anew. */
  removeCuts(): void {
    this.cuts.clear();
    for (const connection of this.connections) {
      connection.near.destroy();
      connection.far.destroy();
    }
  }

  /** Accepts connections at the advertised address and forwards them to `listen`; rejects if it cannot be bound. */
  serve(advertised: string, listen: string): Promise<void> {
    const server = createServer((near) => this.forward(near, advertised, listen));
    this.servers.push(server);
    const { host, port } = parseAddress(advertised);
    return new Promise((done, fail) => {
      server.once('error', fail);
      server.listen(port, host, () => done());
    });
  }

  /** Reads the hello line, which names the caller, and then forwards in both directions. */
  private forward(near: Socket, to: string, listen: string): void {
    let head = Buffer.alloc(0);
    near.setNoDelay(true);
    near.on('error', () => near.destroy());
    const readHello = (part: Buffer): void => {
      head = Buffer.concat([head, part]);
      const lineEnd = head.indexOf(10);
      if (lineEnd < 0) return;
      near.off('data', readHello);
      const hello: unknown = JSON.parse(head.toString('utf8', 0, lineEnd));
      const from =
        hello !== null && typeof hello === 'object' && 'hello' in hello ? String(hello.hello) : '';
      const far = connect(parseAddress(listen));
      far.setNoDelay(true);
      const connection: RelayedConnection = { from, to, near, far };
      this.connections.add(connection);
      const closeBoth = (): void => {
        this.connections.delete(connection);
        near.destroy();
        far.destroy();
      };
      far.on('error', closeBoth);
      far.on('close', closeBoth);
      near.on('close', closeBoth);
      far.write(head);
      near.on('data', (data) => {
        if (!this.isCut(from, to)) far.write(data);
      });
      far.on('data', (data) => {
        if (!this.isCut(from, to) && !this.isCut(to, from)) near.write(data);
      });
    };
    near.on('data', readHello);
  }

  async close(): Promise<void> {
    this.removeCuts();
    await Promise.all(
      this.servers.map((server) => new Promise<void>((done) => server.close(() => done()))),
    );
  }
}
