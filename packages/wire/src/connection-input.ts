/**
 * Estimates the memory of what a client has sent on one connection and what no handler has taken yet: a head that is not
 * complete, and requests that wait for the response to an earlier one. The HTTP parser does not tell where a request ends
 * within the bytes it is given, so the estimate of an incomplete head is an upper bound.
 */
import type { IncomingMessage } from 'node:http';

const lineEndBytes = '\r\n'.length;
const blankLine = Buffer.from('\r\n\r\n');
/** Memory of an incomplete head in relation to its bytes, if its lines are as short as they can be. */
const headMemoryFactor = 16;
/** Memory of a request that waits, with its response, in bytes. */
const waitingRequestBytes = 6144;
/** Most bytes that the parser is given at once: of a body of known length, and of anything else. */
const maxBodyPartBytes = 1 << 16;
const maxPartBytes = 512;

/** The smallest number of bytes in which the head of this request can have been sent. */
const minHeadBytes = ({ method = '', url = '', rawHeaders }: IncomingMessage): number => {
  const requestLine = method.length + url.length + '  HTTP/1.1'.length + lineEndBytes;
  const fields = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const fieldCount = rawHeaders.length / 2;
  return requestLine + fields + fieldCount * (':'.length + lineEndBytes) + lineEndBytes;
};

const declaredBodyBytes = ({ headers }: IncomingMessage): number =>
  Number(headers['content-length'] ?? 0);

/** Bytes after the last blank line of a part, which no incomplete head contains. */
const bytesAfterBlankLine = (part: Buffer): number => {
  const index = part.lastIndexOf(blankLine);
  return index < 0 ? part.length : part.length - index - blankLine.length;
};

/** What one connection has received. */
export class ConnectionInput {
  private receivedBytes = 0;
  /** Lower bound of the bytes that belong to complete heads and their bodies. */
  private requestBytes = 0;
  private newest: IncomingMessage | undefined;
  private newestWasComplete = true;
  private incompleteHead = 0;
  private waitingRequests = 0;

  /** Upper bound of the bytes of an incomplete head. */
  get headBytes(): number {
    return this.incompleteHead;
  }

  /** Whether the body of the newest request has not arrived completely. */
  get hasIncompleteBody(): boolean {
    return this.newest?.complete === false;
  }

  /** Estimated memory of the incomplete head and of the requests that wait, in bytes. */
  get memoryBytes(): number {
    return this.incompleteHead * headMemoryFactor + this.waitingRequests * waitingRequestBytes;
  }

  /** Most bytes that the parser may be given next: what is left of a body of known length, or few. */
  get nextPartBytes(): number {
    const bodyBytes = this.hasIncompleteBody ? this.requestBytes - this.receivedBytes : 0;
    return Math.min(maxBodyPartBytes, Math.max(maxPartBytes, bodyBytes));
  }

  /** Records the head of a request; called while the part that completes it is parsed. */
  requestArrived(request: IncomingMessage): void {
    this.newest = request;
    this.newestWasComplete = false;
    this.requestBytes += minHeadBytes(request) + declaredBodyBytes(request);
  }

  /** Records a part; called once it is parsed. */
  received(part: Buffer): void {
    this.receivedBytes += part.length;
    if (this.hasIncompleteBody) {
      this.newestWasComplete = false;
      this.incompleteHead = 0;
      return;
    }
    const unknownBytes = Math.max(0, this.receivedBytes - this.requestBytes);
    this.incompleteHead = this.newestWasComplete
      ? this.incompleteHead + part.length
      : Math.min(unknownBytes, bytesAfterBlankLine(part));
    this.requestBytes = this.receivedBytes - this.incompleteHead;
    this.newestWasComplete = true;
  }

  /** Sets the number of requests that wait. */
  setWaitingRequests(count: number): void {
    this.waitingRequests = count;
  }
}
