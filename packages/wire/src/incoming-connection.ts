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
          const estimatedBytes = response instanceof SizedReply ? response.estimatedBytes : 0;
          if (!this.write({ id, response: response ?? null }, estimatedBytes))
            this.writeError(id, replyMemoryFull());
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

  /**
   * Writes a reply; returns false, with nothing written, if there is no memory for it. The memory
   * for `estimatedBytes` is taken before the reply is encoded, so that a reply that is not sent makes no garbage.
   */
  private write(line: WireLine, estimatedBytes = 0): boolean {
    if (this.socket.destroyed) return true;
    const use = new BudgetUse(this.replyMemory);
    if (!use.take(estimatedBytes)) return false;
    const text = encodeLine(line);
    if (!use.resize(text.length)) {
      use.release();
      return false;
    }
    this.socket.write(text, () => use.release());
    return true;
  }
}
