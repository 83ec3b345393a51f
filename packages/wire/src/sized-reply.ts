/** Replies whose size is known before they are encoded. */

/** A reply that is not encoded while there is no memory for its bytes. In JSON it is the reply itself. */
export class SizedReply {
  /**
   * @param body - the reply
   * @param estimatedBytes - estimate of the bytes of its JSON; the exact number is counted once it is encoded
   */
  constructor(
    private readonly body: unknown,
    readonly estimatedBytes: number,
  ) {}

  toJSON(): unknown {
    return this.body;
  }
}
