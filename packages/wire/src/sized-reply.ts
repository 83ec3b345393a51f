/** Large replies, which are encoded in short parts, and only if there is memory for them. */
import { GrowingBuffer } from './growing-buffer.js';

/** A reply whose size is known before it is encoded. In JSON it is the reply itself. */
export class SizedReply {
  /**
   * @param body - the reply
   * @param estimatedBytes - estimate of the bytes of its JSON; the exact number is counted once it is encoded
   * @param jsonParts - yields its JSON in parts, short ones where the heap is to stay free of long strings
   */
  constructor(
    private readonly body: unknown,
    readonly estimatedBytes: number,
    private readonly jsonParts: () => Iterable<string>,
  ) {}

  toJSON(): unknown {
    return this.body;
  }

  /** Encodes the line that replies to request `id`, outside the heap. */
  encodeLine(id: number): Buffer {
    const line = new GrowingBuffer();
    line.append(Buffer.from(`{"id":${id},"response":`));
    for (const part of this.jsonParts()) line.append(Buffer.from(part));
    line.append(Buffer.from('}\n'));
    return line.toBuffer();
  }
}
