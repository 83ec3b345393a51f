/**
 * The server side of a node-to-node connection: reads requests, runs the handler, writes chunks and responses. Replies that
 * the peer does not read as fast as they come take memory, which all connections share: a request whose reply finds none
 * ends with an error, and the others go on.
 */
import type { Socket } from 'node:net';
import split2 from 'split2';
import { BudgetUse, type ByteBudget } from './byte-budget.js';
import { toRpcError, UnavailableError } from './errors/index.js';
import { CancelLine, encodeLine, HelloLine, RequestLine, type WireLine } from './messages.js';
import { SizedReply } from './sized-reply.js';
import type { RequestHandler } from './transport.js';

const replyMemoryFull = (): UnavailableError =>
  new UnavailableError('memory-full', 'the memory for replies is in use', 'unknown');

/** Serves the requests of one accepted socket; a line that cannot be parsed closes the socket. */
export class IncomingConnection {
  private readonly running = new Map<number, AbortController>();
  /** The peer's address from its `HelloLine`; empty until that line arrives. */
  private peer = '';

  constructor(
    private readonly socket: Socket,
    private readonly handler: RequestHandler,
    private readonly maxLineBytes: number,
    private readonly replyMemory: ByteBudget,
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
    const emit = (chunk: unknown): void => {
      if (controller.signal.aborted || this.write({ id, chunk })) return;
      this.writeError(id, replyMemoryFull());
      controller.abort();
    };
    void this.handler({ from: this.peer, kind, body }, emit, controller.signal)
      .then(
        (response) => {
          if (!this.writeResponse(id, response)) this.writeError(id, replyMemoryFull());
        },
        (thrown: unknown) => this.writeError(id, thrown),
      )
      .finally(() => this.running.delete(id));
  }

  private writeError(id: number, thrown: unknown): void {
    const { code, message, executed } = toRpcError(thrown);
    if (!this.socket.destroyed)
      this.socket.write(encodeLine({ id, error: { code, text: message, executed } }));
  }

  /** Writes the response to a request; returns false, with nothing written, if there is no memory for it. */
  private writeResponse(id: number, response: unknown): boolean {
    return response instanceof SizedReply
      ? this.writeSized(id, response)
      : this.write({ id, response: response ?? null });
  }

  /** Takes the memory for a reply before it is encoded, so that a reply that is not sent makes no garbage. */
  private writeSized(id: number, reply: SizedReply): boolean {
    if (this.socket.destroyed) return true;
    const use = new BudgetUse(this.replyMemory);
    return use.take(reply.estimatedBytes) && this.send(reply.encodeLine(id), use);
  }

  /** Writes a reply; returns false, with nothing written, if there is no memory for it. */
  private write(line: WireLine): boolean {
    return this.socket.destroyed || this.send(encodeLine(line), new BudgetUse(this.replyMemory));
  }

  private send(line: string | Buffer, use: BudgetUse): boolean {
    if (!use.resize(line.length)) {
      use.release();
      return false;
    }
    this.socket.write(line, () => use.release());
    return true;
  }
}
