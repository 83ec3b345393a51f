/** The server side of a node-to-node connection: reads requests, runs the handler, writes chunks and responses. */
import type { Socket } from 'node:net';
import split2 from 'split2';
import { toRpcError } from './errors/index.js';
import { CancelLine, encodeLine, HelloLine, RequestLine, type WireLine } from './messages.js';
import type { RequestHandler } from './transport.js';

/** Serves the requests of one accepted socket; a line that cannot be parsed closes the socket. */
export class IncomingConnection {
  private readonly running = new Map<number, AbortController>();
  /** The peer's address from its `HelloLine`; empty until that line arrives. */
  private peer = '';

  constructor(
    private readonly socket: Socket,
    private readonly handler: RequestHandler,
    private readonly maxLineBytes: number,
  ) {}

  /** Serves requests until the socket closes, then aborts the signals of the handlers that still run. */
  async serve(): Promise<void> {
    this.socket.setNoDelay(true);
    const lines = this.socket.pipe(split2({ maxLength: this.maxLineBytes }));
    this.socket.on('close', () => {
      for (const controller of this.running.values()) controller.abort();
      lines.destroy();
    });
    try {
      for await (const text of lines) this.receive(JSON.parse(String(text)));
    } catch {
      this.socket.destroy();
    }
  }

  private receive(line: unknown): void {
    if (!this.peer) {
      this.peer = HelloLine.parse(line).hello;
      return;
    }
    const cancel = CancelLine.safeParse(line);
    if (cancel.success) this.running.get(cancel.data.id)?.abort();
    else this.run(line);
  }

  private run(line: unknown): void {
    const { id, kind, body } = RequestLine.parse(line);
    const controller = new AbortController();
    this.running.set(id, controller);
    const emit = (chunk: unknown): void => this.write({ id, chunk });
    void this.handler({ from: this.peer, kind, body }, emit, controller.signal)
      .then(
        (response) => this.write({ id, response: response ?? null }),
        (thrown: unknown) => {
          const error = toRpcError(thrown);
          this.write({
            id,
            error: { code: error.code, text: error.message, executed: error.executed },
          });
        },
      )
      .finally(() => this.running.delete(id));
  }

  private write(line: WireLine): void {
    if (!this.socket.destroyed) this.socket.write(encodeLine(line));
  }
}
