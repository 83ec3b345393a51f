/**
 * Passes what a connection receives to the HTTP parser in small parts, and only while the requests before are not too many.
 * The parser makes objects of all requests and body chunks of a part at once, which take a hundred times their bytes; what is
 * held back here takes its bytes alone. Owns the bytes that the parser has not seen yet.
 */
import type { Socket } from 'node:net';

const nothing: Buffer = Buffer.alloc(0);

/** What decides on the next part that is passed on. */
export interface FeedControl {
  /** Whether the parser may get more now. */
  mayFeed(): boolean;
  /** Maximum size of the next part, in bytes. */
  partBytes(): number;
  /** Called once the parser has seen a part. */
  fed(part: Buffer): void;
}

/** The listener of the HTTP server for the data of a socket, which this module replaces. */
const parserListenerOf = (socket: Socket): ((part: Buffer) => void) => {
  const listeners = socket.listeners('data');
  socket.removeAllListeners('data');
  return (part) => {
    for (const listener of listeners) Reflect.apply(listener, socket, [part]);
  };
};

/** The bytes of one connection on their way to the parser. */
export class ParserFeed {
  private held = nothing;
  private isPaused = false;
  private readonly parse: (part: Buffer) => void;

  /** @param socket - a connection that an HTTP server has just accepted */
  constructor(
    private readonly socket: Socket,
    private readonly control: FeedControl,
  ) {
    this.parse = parserListenerOf(socket);
    socket.on('data', (chunk: Buffer) => {
      this.held = this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
      this.feed();
    });
    // The HTTP server resumes the socket when the body of a request is read.
    socket.on('resume', () => {
      if (this.isPaused) socket.pause();
    });
  }

  /** Bytes that the parser has not seen yet. */
  get heldBytes(): number {
    return this.held.length;
  }

  /** Passes on as much as is allowed; to be called when that may have changed. */
  feed(): void {
    const { control, socket } = this;
    while (this.held.length > 0 && !socket.destroyed && control.mayFeed()) {
      const part = this.held.subarray(0, control.partBytes());
      this.held = this.held.subarray(part.length);
      this.parse(part);
      control.fed(part);
    }
    if (socket.destroyed) this.held = nothing;
    else this.setPaused(this.held.length > 0);
  }

  private setPaused(isPaused: boolean): void {
    if (isPaused === this.isPaused) return;
    this.isPaused = isPaused;
    if (isPaused) this.socket.pause();
    else this.socket.resume();
  }
}
