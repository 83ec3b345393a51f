/**
 * Bounds the memory of the requests under way at a front, over all connections. Large requests are refused first, and those
 * whose bodies are incomplete make room for smaller ones. A refused request has not run.
 */
import type { IncomingMessage } from 'node:http';
import { BudgetUse, ByteBudget, UnavailableError } from '@tillerstair/wire';

/** Memory of a request and its response beside their head lines and bodies. */
const bytesPerRequest = 8192;
/** Memory of a header line beside its bytes: its strings and pairs, in the request and in what is forwarded. */
const bytesPerHeaderLine = 500;
/** Memory of a body in relation to its bytes: it is kept in base64 and sent to the owner as text. */
const bodyMemoryFactor = 2.8;

/** The memory of one request; it may go on for a client that has left. */
export interface RequestReservation {
  /** Adds the memory of bytes of the body. @throws UnavailableError (`memory-full`) if it is in use. */
  addBody(bytes: number): void;
  /** Checks before the request is forwarded that it was not refused. @throws UnavailableError (`memory-full`) if it was. */
  requireHeld(): void;
  /** Gives the memory back; to be called once the request has ended and its response has been written. */
  release(): void;
}

const memoryFull = (): UnavailableError =>
  new UnavailableError('memory-full', 'the memory for requests is in use');

const headMemoryBytes = ({ rawHeaders, url = '' }: IncomingMessage): number => {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, url.length);
  return bytesPerRequest + textBytes + (rawHeaders.length / 2) * bytesPerHeaderLine;
};

/** The memory of the requests under way. */
export class RequestMemory {
  /** @param budget - the memory of all requests; no limit by default */
  constructor(private readonly budget = new ByteBudget()) {}

  /**
   * Reserves memory for a request's head, and for its body if the length is known. `onEvicted` is called with the reason if
   * the request has to make room for another before its body is complete; the reservation is given up then.
   *
   * @throws UnavailableError (`memory-full`) if the memory is in use
   */
  reserve(
    request: IncomingMessage,
    onEvicted: (reason: UnavailableError) => void,
  ): RequestReservation {
    const declared = Number(request.headers['content-length'] ?? 0);
    const use = new BudgetUse(this.budget);
    const add = (bytes: number): void => {
      if (!use.take(bytes)) throw memoryFull();
    };
    let received = 0;
    add(headMemoryBytes(request) + declared * bodyMemoryFactor);
    use.allowEviction({
      isAllowed: () => !request.complete,
      onEvicted: () => onEvicted(memoryFull()),
    });
    return {
      addBody: (bytes) => {
        const before = Math.max(received, declared);
        received += bytes;
        const growth = Math.max(received, declared) - before;
        if (growth > 0) add(growth * bodyMemoryFactor);
      },
      requireHeld: () => {
        if (use.wasEvicted) throw memoryFull();
      },
      release: () => use.release(),
    };
  }
}
